package io.shallotspur.quarantine;

import java.util.List;
import java.util.stream.LongStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that innocent requests are served beside others that share the first part of
 * their prompts with them, and of which a part crashes workers.
 */
class InnocentPartsSimulationTests {

	private static final int TOLERATED_CRASHES = 5;

	private static final int TOLERATED_REQUESTS = 3;

	// Requests count from this long after the fifth crash.
	private static final long REACTION_MS = 3_000;

	// Fingerprints of requests are lower.
	private static final long FREQUENT_KIND = 1_000_001;

	private static final long RARE_KIND = 1_000_002;

	private static final int RARE_ONE_IN = 10;

	private static final int DOCUMENTS = 20;

	// So many requests in a row share a document of their own.
	private static final int SESSION = 6;

	private static final CrashWorkload PARTS = new CrashWorkload() {

		@Override
		public RequestIdentity innocent(int n) {
			long kind = (n % RARE_ONE_IN == 0) ? RARE_KIND : FREQUENT_KIND;
			return switch (n % 3) {
				case 0 -> identity(n, kind);
				case 1 -> identity(n, kind, document(n));
				default -> identity(n, kind, 2_000_000 + n / SESSION);
			};
		}

		// The part stands before or behind another one, which innocent requests share.
		@Override
		public RequestIdentity crashing(int cause, int n) {
			long other = document(n);
			long fingerprint = -1_000_000L - cause * 1_000L - n;
			return (n % 2 == 0) ? identity(fingerprint, FREQUENT_KIND, -cause, other)
					: identity(fingerprint, FREQUENT_KIND, other, -cause);
		}

	};

	private static long document(int n) {
		return 1_100_000 + n % DOCUMENTS;
	}

	private static RequestIdentity identity(long fingerprint, long... parts) {
		return new RequestIdentity(fingerprint,
				LongStream.of(parts).mapToObj((p) -> new PartFingerprint(p, p)).toList());
	}

	private static long countLate(List<Long> arrivals, List<Long> crashes) {
		if (crashes.size() < TOLERATED_CRASHES) {
			return 0;
		}
		long from = crashes.get(TOLERATED_CRASHES - 1) + REACTION_MS;
		return arrivals.stream().filter((at) -> at > from).count();
	}

	// Guards against refusing a request for a part that it shares with those that crash
	// workers, and against a part that goes on crashing them.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 12 })
	void onlyThePartThatCrashesWorkersIsRefused(long seed) {
		CrashSimulation s = new CrashSimulation(seed, PARTS).run();
		Assertions.assertThat(s.refusedInnocents).isEmpty();
		Assertions.assertThat(s.innocentsSent).isEqualTo(CrashSimulation.INNOCENT_REQUESTS);
		Assertions.assertThat(s.otherCrashes).isGreaterThan(s.crashesByCauses / 2);
		Assertions.assertThat(s.crashes.size()).isGreaterThan(10);
		s.crashes.forEach((cause, crashes) -> Assertions.assertThat(countLate(s.arrivals.get(cause), crashes))
			.isLessThanOrEqualTo(TOLERATED_REQUESTS));
	}

}
