package io.shallotspur.record;

import org.HdrHistogram.Histogram;

/**
 * What happened to the requests of one customer and class in some time. Counts add up
 * exactly, whatever the order in which they are merged. Not thread-safe.
 */
public final class ClassCounts {

	private static final long MAX_MICROS = 86_400_000_000L;

	private final long[] verdicts;

	private long prefillTokens;

	private long wastedPrefillTokens;

	private final BucketCounts ttft;

	private final BucketCounts tbt;

	/**
	 * Creates empty counts.
	 */
	public ClassCounts() {
		this(new long[Verdict.values().length], 0, 0, new BucketCounts(), new BucketCounts());
	}

	ClassCounts(long[] verdicts, long prefillTokens, long wastedPrefillTokens, BucketCounts ttft, BucketCounts tbt) {
		this.verdicts = verdicts;
		this.prefillTokens = prefillTokens;
		this.wastedPrefillTokens = wastedPrefillTokens;
		this.ttft = ttft;
		this.tbt = tbt;
	}

	/**
	 * Adds one request.
	 * @param end how it ended
	 */
	public void add(RequestEnd end) {
		this.verdicts[end.verdict().ordinal()]++;
		this.prefillTokens += end.prefillTokens();
		this.wastedPrefillTokens += end.wastedPrefillTokens();
		if (end.ttftMicros() >= 0) {
			this.ttft.add(Math.min(end.ttftMicros(), MAX_MICROS), 1);
		}
		for (long gap : end.gapsMicros()) {
			this.tbt.add(Math.max(0, Math.min(gap, MAX_MICROS)), 1);
		}
	}

	/**
	 * Adds what was prefilled for a request.
	 * @param computed the tokens that were computed
	 * @param wasted those of them of whose answer no token reached the caller
	 */
	public void addPrefill(long computed, long wasted) {
		this.prefillTokens += computed;
		this.wastedPrefillTokens += wasted;
	}

	/**
	 * Adds other counts.
	 * @param other the counts, which stay as they are
	 */
	public void merge(ClassCounts other) {
		for (int i = 0; i < this.verdicts.length; i++) {
			this.verdicts[i] += other.verdicts[i];
		}
		this.prefillTokens += other.prefillTokens;
		this.wastedPrefillTokens += other.wastedPrefillTokens;
		this.ttft.merge(other.ttft);
		this.tbt.merge(other.tbt);
	}

	/**
	 * Returns the requests that ended in one way.
	 * @param verdict the way
	 * @return the number of requests
	 */
	public long count(Verdict verdict) {
		return this.verdicts[verdict.ordinal()];
	}

	/**
	 * Returns all requests.
	 * @return the number of requests
	 */
	public long requests() {
		long sum = 0;
		for (long v : this.verdicts) {
			sum += v;
		}
		return sum;
	}

	/**
	 * Returns the part of the requests that met all targets. Requests whose caller left
	 * count neither way.
	 * @return the ratio; 1 if there are none
	 */
	public double metRatio() {
		long judged = requests() - count(Verdict.CANCELLED);
		return (judged > 0) ? (double) count(Verdict.MET) / judged : 1;
	}

	/**
	 * Returns the tokens that were computed.
	 * @return the number of tokens
	 */
	public long prefillTokens() {
		return this.prefillTokens;
	}

	/**
	 * Returns the tokens that were computed for nothing.
	 * @return the number of tokens
	 */
	public long wastedPrefillTokens() {
		return this.wastedPrefillTokens;
	}

	/**
	 * Returns the times to the first token.
	 * @return a new histogram of microseconds
	 */
	public Histogram ttft() {
		return this.ttft.toHistogram();
	}

	/**
	 * Returns the times between tokens.
	 * @return a new histogram of microseconds
	 */
	public Histogram tbt() {
		return this.tbt.toHistogram();
	}

	BucketCounts ttftBuckets() {
		return this.ttft;
	}

	BucketCounts tbtBuckets() {
		return this.tbt;
	}

}
