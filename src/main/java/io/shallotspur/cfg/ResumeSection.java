package io.shallotspur.cfg;

import java.util.List;

/**
 * Resuming a stream at another entry VM. Immutable.
 *
 * @param keys signing keys; the first one signs, all of them verify
 * @param tokenTtlMs a token is good for this long, in milliseconds
 * @param orphanGraceMs a stream whose entry VM died is cancelled after this, in
 * milliseconds
 */
public record ResumeSection(List<ResumeKey> keys, long tokenTtlMs, long orphanGraceMs) {

	public ResumeSection {
		keys = List.copyOf(keys);
	}

}
