package io.shallotspur.pace;

/**
 * How long work takes at one start of a worker in one stage: learned from its answers,
 * and as it states itself. Not thread-safe; the present time is an argument.
 * <p>
 * Designed for workers that differ in speed by a factor of two and more, slow down when
 * nearly full, and share their machines with others whose work slows them down for
 * fractions of a second.
 * <p>
 * Invariant: a worker that has neither answered nor stated anything counts as one of mean
 * pace without slowdown.
 */
public final class WorkerPace {

	// Half-life of a stated slowdown, which changes many times a second, ms.
	private static final double STATED_HALF_LIFE_MS = 200;

	// Half-life of a learned pace, ms. A worker that is avoided gives no answers, and is
	// tried again once its pace has decayed.
	private static final double LEARNED_HALF_LIFE_MS = 20_000;

	// Half-life of the mean of the statements, ms. Statements come with answers, of which
	// there are fewer while work takes long. The weight of each is therefore the time
	// since the one before.
	private static final double MEAN_HALF_LIFE_MS = 5_000;

	// Share of the slots from which on a worker counts as nearly full.
	private static final double NEARLY_FULL = 0.75;

	// A larger factor comes from waiting inside the worker, not from its pace.
	private static final double MAX_FULL_FACTOR = 4;

	private final SampleMean usual = new SampleMean();

	private final SampleMean nearlyFull = new SampleMean();

	private long answeredAt;

	private double stated;

	private double statedMean;

	private long statedAt;

	/**
	 * Records an answer.
	 * @param ms its duration for one unit of work, in milliseconds
	 * @param running requests that the worker runs beside it
	 * @param waiting requests in the worker's queue
	 * @param slots requests that it runs concurrently at most
	 * @param now the present time in milliseconds
	 */
	public void recordAnswer(double ms, int running, int waiting, int slots, long now) {
		double queueing = 1 + (double) waiting / Math.max(1, slots);
		SampleMean samples = isNearlyFull(running + 1, slots) ? this.nearlyFull : this.usual;
		samples.add(ms / queueing / slowdown(now));
		this.answeredAt = now;
	}

	/**
	 * Records how long work takes at present by the worker's own statement.
	 * @param factor 1 for as long as usual
	 * @param now the present time in milliseconds
	 */
	public void recordStated(double factor, long now) {
		double weight = isStated() ? 1 - Math.pow(0.5, (now - this.statedAt) / MEAN_HALF_LIFE_MS) : 1;
		this.statedMean += weight * (factor - this.statedMean);
		this.stated = factor;
		this.statedAt = now;
	}

	boolean isStated() {
		return this.stated > 0;
	}

	/**
	 * Returns how long work takes at present compared with the worker's usual time. A
	 * statement that is no longer recent decays to the mean of this worker's.
	 * @param now the present time in milliseconds
	 * @return the factor; 1 if the worker states nothing
	 */
	public double slowdown(long now) {
		if (!isStated()) {
			return 1;
		}
		double weight = Math.pow(0.5, (now - this.statedAt) / STATED_HALF_LIFE_MS);
		return this.statedMean + weight * (this.stated - this.statedMean);
	}

	/**
	 * Returns the factor by which work takes longer with a number of requests.
	 * @param load the number of requests
	 * @param slots requests that the worker runs concurrently at most
	 * @return the factor, at least 1
	 */
	double fullFactor(double load, int slots) {
		if (!isNearlyFull(load, slots) || !this.usual.isKnown() || !this.nearlyFull.isKnown()) {
			return 1;
		}
		return Math.max(1, Math.min(MAX_FULL_FACTOR, this.nearlyFull.mean() / this.usual.mean()));
	}

	private static boolean isNearlyFull(double load, int slots) {
		return load >= NEARLY_FULL * slots;
	}

	// Milliseconds for one unit of work.
	SampleMean learned() {
		return this.usual.isKnown() ? this.usual : this.nearlyFull;
	}

	SampleMean learnedNearlyFull() {
		return this.nearlyFull;
	}

	// How much the learned pace still counts, from 1 to 0.
	double learnedWeight(long now) {
		return learned().confidence() * Math.pow(0.5, (now - this.answeredAt) / LEARNED_HALF_LIFE_MS);
	}

}
