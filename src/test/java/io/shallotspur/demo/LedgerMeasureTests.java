package io.shallotspur.demo;

import org.junit.jupiter.api.Test;

import io.shallotspur.node.ledger.LedgerSettings;

import static org.assertj.core.api.Assertions.assertThat;

class LedgerMeasureTests {

	@Test
	void writesStayUnderTheBoundAndEveryRequestIsTold() {
		for (int rate : new int[] { 50, 2_000 }) {
			LedgerLoad.Result r = new LedgerLoad(LedgerSettings.DEFAULT, 3).run(rate, 1);
			assertThat(r.writes()).isLessThanOrEqualTo(352);
			assertThat(r.largest()).isLessThan(1_000_000);
			assertThat(r.refused()).isZero();
			assertThat(r.silent()).isZero();
		}
	}

	@Test
	void noRequestTakesMoreThanTwoWorkers() {
		FailureLoad.Poison p = new FailureLoad(3).poison(true);
		assertThat(p.most()).isLessThanOrEqualTo(2);
		assertThat(p.wronglyRefused()).isZero();
	}

}
