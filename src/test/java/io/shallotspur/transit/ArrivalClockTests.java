package io.shallotspur.transit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link ArrivalClock}.
 */
class ArrivalClockTests {

	// Guards against deadlines that are counted from when a busy loop reads a request,
	// and against time that an idle loop has waited being taken off a fresh one.
	@ParameterizedTest(name = "{4}")
	@CsvSource({ "3000, false, 3000, 10, found at once after a long round",
			"3000, false, 3050, 10, found after a check that took long",
			"3000, true, 3900, 3900, waited for after a long round",
			"11, true, 260, 260, waited for after a short round", "10, false, 10, 10, found with tasks" })
	void datesArrivalsBackToThePreviousPoll(long entered, boolean waits, long returned, long earliest, String name) {
		ArrivalClock c = new ArrivalClock();
		poll(c, 0, 10);
		c.pollEntered(entered);
		Assertions.assertThat(c.shouldCheckReady()).isEqualTo(entered > 1_000);
		if (waits) {
			c.pollWaits();
		}
		c.pollReturned(returned);
		Assertions.assertThat(c.earliestArrival()).isEqualTo(earliest);
	}

	// Guards against a request that waited with its connection to be accepted and gets a
	// fresh deadline; one that comes later on the connection has a time of its own.
	@ParameterizedTest(name = "request read {0} polls later")
	@CsvSource({ "1, 10", "2, 3300" })
	void datesTheFirstRequestBackToItsConnection(int pollsLater, long earliest) {
		ArrivalClock c = new ArrivalClock();
		poll(c, 0, 10);
		poll(c, 3000, 3000);
		long openedAt = c.earliestArrival();
		long openedIn = c.polls();
		for (int i = 1; i <= pollsLater; i++) {
			poll(c, 3000 + i * 300, 3000 + i * 300);
		}
		Assertions.assertThat(c.earliestArrivalOnNewConnection(openedAt, openedIn)).isEqualTo(earliest);
	}

	private static void poll(ArrivalClock c, long entered, long returned) {
		c.pollEntered(entered);
		c.pollReturned(returned);
	}

}
