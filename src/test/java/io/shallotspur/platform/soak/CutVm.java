package io.shallotspur.platform.soak;

import java.util.Optional;

/**
 * How well callers are served at a VM that is cut off from workers, and at the others in
 * that time. Thread-safe: methods hold the monitor.
 */
final class CutVm {

	// In ms. From then on the VM must serve its callers.
	private static final long REACTION_MS = 3_000;

	private static final double MIN_RATIO = 2.0 / 3;

	private static final int TOLERATED_FAILURES = 10;

	private static final double TOLERATED_SHARE = 1.0 / 50;

	private final String vm;

	private final long startedAtMs;

	private final Tries here = new Tries();

	private final Tries elsewhere = new Tries();

	CutVm(String vm, long nowMs) {
		this.vm = vm;
		this.startedAtMs = nowMs;
	}

	long startedAtMs() {
		return this.startedAtMs;
	}

	synchronized void onEnded(String at, long sentAtMs, boolean served) {
		if (sentAtMs >= this.startedAtMs + REACTION_MS) {
			(at.equals(this.vm) ? this.here : this.elsewhere).add(served);
		}
	}

	/**
	 * Returns how the rule for callers of such a VM is broken.
	 * @return a description, or empty if it holds
	 */
	synchronized Optional<String> violation() {
		int failed = this.here.sent - this.here.served;
		double tolerated = TOLERATED_FAILURES + TOLERATED_SHARE * (this.here.sent + this.elsewhere.sent);
		boolean broken = this.elsewhere.sent > 0 && this.here.share() < MIN_RATIO * this.elsewhere.share()
				&& failed > tolerated;
		return broken ? Optional.of("RECOVER vm=" + this.vm + " here=" + this.here + " elsewhere=" + this.elsewhere)
				: Optional.empty();
	}

	private static final class Tries {

		private int sent;

		private int served;

		private void add(boolean success) {
			this.sent++;
			this.served += success ? 1 : 0;
		}

		private double share() {
			return (this.sent > 0) ? (double) this.served / this.sent : 1;
		}

		@Override
		public String toString() {
			return this.served + "/" + this.sent;
		}

	}

}
