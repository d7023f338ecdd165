package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link SettledShare}.
 */
class SettledShareTests {

	private static final long WINDOW_MS = 10_000;

	private static final long HOLD_MS = WINDOW_MS + SettledShare.PROPAGATION_MS;

	private static final long START = 100_000;

	private static final long LEASE_MS = 3_000;

	private final SettledShare share = new SettledShare(WINDOW_MS);

	private double update(double byRegistrations, long now) {
		return this.share.update(byRegistrations, now, now);
	}

	// A VM that has had its share for long, at the time START.
	private void settle(double byRegistrations) {
		this.share.registered(START, START - 2 * HOLD_MS);
		for (long at = START - 2 * HOLD_MS; at <= START; at += 250) {
			update(byRegistrations, at);
		}
		this.share.renewed(START + LEASE_MS);
	}

	// Guards against a process that spends what the one before it has spent already.
	@Test
	void aVmThatStartsHasNothingForAWindow() {
		this.share.registered(Long.MAX_VALUE / 2, START);
		Assertions.assertThat(update(0.5, START)).isZero();
		Assertions.assertThat(update(0.5, START + HOLD_MS - 1)).isZero();
		Assertions.assertThat(update(0.5, START + HOLD_MS)).isEqualTo(0.5);
	}

	@Test
	void aVmThatNeverRegisteredHasNothing() {
		update(1, START);
		Assertions.assertThat(update(1, START + 2 * HOLD_MS)).isZero();
	}

	@Test
	void aShareShrinksAtOnceAndGrowsAfterAWindow() {
		settle(0.5);
		this.share.renewed(Long.MAX_VALUE / 2);
		Assertions.assertThat(update(0.25, START + 1)).isEqualTo(0.25);
		Assertions.assertThat(update(1, START + 2)).isEqualTo(0.25);
		Assertions.assertThat(update(1, START + 1 + HOLD_MS)).isEqualTo(0.25);
		Assertions.assertThat(update(1, START + 2 + HOLD_MS)).isEqualTo(1);
	}

	// Guards against a VM that is cut off from the store and spends while the others have
	// taken its share.
	@Test
	void aVmWhoseRegistrationMayHaveExpiredHasNothing() {
		settle(0.5);
		long last = START + LEASE_MS + SettledShare.PROPAGATION_MS - 1;
		Assertions.assertThat(update(0.5, last)).isEqualTo(0.5);
		Assertions.assertThat(update(0.5, last + 1)).isZero();
	}

	// Guards against losing the share for a window after each outage of the store in
	// which no registration has expired.
	@Test
	void aRenewalAfterAnOutageRestoresTheShare() {
		settle(0.5);
		Assertions.assertThat(update(0.5, START + 9_000)).isZero();
		this.share.renewed(START + 12_000);
		Assertions.assertThat(update(0.5, START + 9_001)).isEqualTo(0.5);
	}

	// Guards against a VM that spends its share before the others have given it up again.
	@Test
	void aRegistrationAfterTheLastHasExpiredStartsAnew() {
		settle(0.5);
		this.share.registered(Long.MAX_VALUE / 2, START + 9_000);
		Assertions.assertThat(update(0.5, START + 9_000)).isZero();
		Assertions.assertThat(update(0.5, START + 9_000 + HOLD_MS)).isEqualTo(0.5);
	}

	@Test
	void aVmThatStopsHasItsShareUntilTheOthersCanTakeIt() {
		settle(0.5);
		this.share.deregistered(START);
		Assertions.assertThat(update(0.5, START + SettledShare.PROPAGATION_MS - 1)).isEqualTo(0.5);
		Assertions.assertThat(update(0.5, START + SettledShare.PROPAGATION_MS)).isZero();
	}

	// Guards against a machine that was suspended: its monotonic clock does not show how
	// long.
	@Test
	void aVmThatWasSuspendedHasNothing() {
		settle(0.5);
		Assertions.assertThat(this.share.update(0.5, START + 1, START + 60_000)).isZero();
	}

}
