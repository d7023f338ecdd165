package io.shallotspur.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;
import io.shallotspur.route.QuotaUnit;

/**
 * Goes through all orders of what changes a VM's share of a quota, with a customer that
 * spends all that the VMs let through.
 * <p>
 * Guards against a burst that is spent again at each VM that starts to serve callers, and
 * against shares that add up to more than the quota for longer than the operator
 * tolerates.
 */
class QuotaModelTests {

	private static final QuotaTolerance TOLERANCE = new QuotaTolerance(8_000, 0.1, 190_000);

	private static final int LENGTH = 6;

	@ParameterizedTest
	@CsvSource({ "47000,47000", "47000,10000", "94000,47000", "164000,82000", "32800,118000" })
	void noOrderOfChangesExceedsTheQuota(double rate, double burst) {
		int kinds = Step.values().length;
		for (int code = 0; code < Math.pow(kinds, LENGTH); code++) {
			Fleet fleet = new Fleet(rate, burst);
			List<Step> steps = new ArrayList<>();
			for (int i = 0, rest = code; i < LENGTH; i++, rest /= kinds) {
				steps.add(Step.values()[rest % kinds]);
			}
			steps.forEach(fleet::run);
			Assertions.assertThat(fleet.largestUse()).as("%s", steps).isLessThanOrEqualTo(1);
		}
	}

	private enum Step {

		SPEND_FIRST, SPEND_ALL, SERVE_MORE, SERVE_OTHERS, START, CUT_OFF, LOWER

	}

	/**
	 * Six VMs, of which two serve callers at first. What changes in the store is known to
	 * the first VM at once and to the others a step later.
	 */
	private static final class Fleet {

		private static final int VMS = 6;

		private static final long STEP_MS = 1_500;

		private static final double COST = 6_800;

		// Without proof of the configuration a VM accepts no key.
		private static final long PROOF_MS = 5_000;

		private static final long LEASE_MS = 3_000;

		// Callers use addresses that they were told at most this long ago.
		private static final long CALLER_TTL_MS = 5_000;

		private final QuotaLimiter[] limiters = new QuotaLimiter[VMS];

		private final long[] servedAt = new long[VMS];

		private final int[] firstServing = new int[VMS];

		private final int[] servingCount = new int[VMS];

		private final Customer[] customers = new Customer[VMS];

		private final List<double[]> spent = new ArrayList<>();

		private Customer customer;

		private int first;

		private int count = 2;

		private long now = 100_000;

		private long cutAt = Long.MAX_VALUE;

		private long loweredAt = Long.MAX_VALUE;

		Fleet(double rate, double burst) {
			this.customer = customer(rate, burst);
			for (int vm = 0; vm < VMS; vm++) {
				this.limiters[vm] = new QuotaLimiter(TOLERANCE, 0);
				learn(vm);
			}
			tick();
		}

		private static Customer customer(double rate, double burst) {
			return new Customer("acme", Set.of(), null, new Quota(QuotaUnit.TOKENS, rate, burst, 200));
		}

		private void learn(int vm) {
			this.firstServing[vm] = this.first;
			this.servingCount[vm] = this.count;
			this.customers[vm] = this.customer;
		}

		private QuotaShare share(int vm) {
			return QuotaShare.of(this.servingCount[vm], !serves(vm, this.firstServing[vm], this.servingCount[vm]));
		}

		private static boolean serves(int vm, int firstVm, int vms) {
			return (vm - firstVm + VMS) % VMS < vms;
		}

		private void tick() {
			for (int vm = 0; vm < VMS; vm++) {
				if (!share(vm).standby()) {
					this.servedAt[vm] = this.now;
				}
				this.limiters[vm].update(share(vm), this.now);
			}
		}

		void run(Step step) {
			boolean wasCut = this.cutAt <= this.now;
			this.now += STEP_MS;
			for (int vm = wasCut ? 1 : 0; vm < VMS; vm++) {
				learn(vm);
			}
			if (wasCut && this.now - this.cutAt >= LEASE_MS && serves(0, this.first, this.count)) {
				serve(1, this.count);
			}
			switch (step) {
				case SPEND_FIRST -> spend(0);
				case SPEND_ALL -> spendAll();
				case SERVE_MORE -> serve(this.first, Math.min(VMS - 1, this.count + 1));
				case SERVE_OTHERS -> serve((this.first + 2) % VMS, this.count);
				case START -> start();
				case CUT_OFF -> cutOff();
				case LOWER -> lower();
			}
			if (this.cutAt > this.now) {
				learn(0);
			}
			tick();
		}

		private void serve(int firstVm, int vms) {
			this.first = firstVm;
			this.count = vms;
		}

		private void start() {
			this.limiters[0] = new QuotaLimiter(TOLERANCE, this.now);
		}

		private void cutOff() {
			this.cutAt = Math.min(this.cutAt, this.now);
		}

		private void lower() {
			if (this.loweredAt == Long.MAX_VALUE) {
				this.loweredAt = this.now;
				Quota q = this.customer.quota();
				this.customer = customer(q.unitsPerSecond() / 2, q.burst() / 2);
			}
		}

		private void spendAll() {
			for (int vm = 0; vm < VMS; vm++) {
				spend(vm);
			}
		}

		private void spend(int vm) {
			boolean hasCallers = this.now - this.servedAt[vm] < CALLER_TTL_MS;
			if (!hasCallers || (vm == 0 && this.now - this.cutAt >= PROOF_MS)) {
				return;
			}
			while (this.limiters[vm].charge(this.customers[vm], 0, COST, share(vm), this.now).isAdmitted()) {
				this.spent.add(new double[] { this.now, COST });
			}
		}

		// The largest use of a window as a fraction of what is allowed. The lower limit
		// holds for windows that begin after all VMs know of it.
		double largestUse() {
			double max = 0;
			for (int i = 0; i < this.spent.size(); i++) {
				double begin = this.spent.get(i)[0];
				if (i > 0 && this.spent.get(i - 1)[0] == begin) {
					continue;
				}
				double sum = this.spent.stream()
					.filter((x) -> x[0] >= begin && x[0] < begin + TOLERANCE.windowMs())
					.mapToDouble((x) -> x[1])
					.sum();
				max = Math.max(max, sum / allowed(begin));
			}
			return max;
		}

		private double allowed(double begin) {
			boolean lower = begin > this.loweredAt + STEP_MS && this.cutAt == Long.MAX_VALUE;
			double factor = (this.loweredAt == Long.MAX_VALUE || lower) ? 1 : 2;
			Quota q = this.customer.quota();
			double quota = factor * (q.unitsPerSecond() * TOLERANCE.windowMs() / 1_000 + q.burst());
			return quota * (1 + TOLERANCE.overshoot()) + TOLERANCE.slack();
		}

	}

}
