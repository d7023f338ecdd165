package io.shallotspur.quarantine;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that innocent requests are served beside requests that crash workers and come
 * again.
 */
class InnocentRequestsSimulationTests {

	private static final CrashWorkload REQUESTS = new CrashWorkload() {

		@Override
		public RequestIdentity innocent(int n) {
			return RequestIdentity.of(n);
		}

		@Override
		public RequestIdentity crashing(int cause, int n) {
			return RequestIdentity.of(-cause);
		}

	};

	// Guards against refusing a request because of those that it ran beside, or because
	// of a rack that lost power.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void noInnocentRequestIsRefused(long seed) {
		CrashSimulation s = new CrashSimulation(seed, REQUESTS).run();
		Assertions.assertThat(s.refusedInnocents).isEmpty();
		Assertions.assertThat(s.innocentsSent).isEqualTo(CrashSimulation.INNOCENT_REQUESTS);
		Assertions.assertThat(s.otherCrashes).isGreaterThanOrEqualTo(s.crashesByCauses);
		Assertions.assertThat(s.crashes.values()).isNotEmpty().allMatch((crashes) -> crashes.size() <= 6);
	}

}
