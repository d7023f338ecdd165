package io.shallotspur.cell;

import java.util.Collection;
import java.util.Set;

/**
 * Suspects nobody. Stateless and thread-safe.
 */
final class NopCrashWatch implements CrashWatch {

	@Override
	public Set<Long> workerCrashed(String workerId, Collection<Long> runningFingerprints, long now) {
		return Set.of();
	}

	@Override
	public boolean isQuarantined(long fingerprint, long now) {
		return false;
	}

	@Override
	public boolean isSuspect(long fingerprint, long now) {
		return false;
	}

	@Override
	public void completed(long fingerprint, long now) {
		// nothing is suspected
	}

}
