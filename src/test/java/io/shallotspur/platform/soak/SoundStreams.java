package io.shallotspur.platform.soak;

import java.util.Optional;

/**
 * How many sound streams begin at the first attempt while requests with a part that
 * crashes workers come and should have been found, and how many at other times.
 * Thread-safe.
 */
final class SoundStreams {

	private static final int MIN_TRIED = 20;

	private static final double MIN_RATIO = 0.5;

	private int tried;

	private int served;

	private int triedBeside;

	private int servedBeside;

	synchronized void onTried(boolean besideCrashingPart, boolean isServed) {
		if (besideCrashingPart) {
			this.triedBeside++;
			this.servedBeside += isServed ? 1 : 0;
		}
		else {
			this.tried++;
			this.served += isServed ? 1 : 0;
		}
	}

	/**
	 * Returns how the rule for sound streams is broken.
	 * @return a description, or empty if it holds
	 */
	synchronized Optional<String> violation() {
		boolean broken = this.triedBeside >= MIN_TRIED && this.tried >= MIN_TRIED
				&& (double) this.servedBeside / this.triedBeside < MIN_RATIO * this.served / this.tried;
		return broken ? Optional.of("LOST beside a crashing part: " + summary()) : Optional.empty();
	}

	synchronized String summary() {
		return "beside-part=" + this.servedBeside + "/" + this.triedBeside + " else=" + this.served + "/" + this.tried;
	}

}
