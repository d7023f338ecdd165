package io.shallotspur.routing;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * The state of one prefill worker: what it runs, what its cache holds, what its work
 * costs. It reads one prompt at a time. Not thread-safe.
 */
public final class PrefillWorker {

	private static final double TYPICAL_TOKENS = 2000;

	private static final double FIT_MEMORY = 0.97;

	private static final int BLOCK_TOKENS = 256;

	private final Worker worker;

	private final LinearFit fit;

	private final PrefixIndex prefixIndex;

	private boolean isDraining;

	private long running;

	private double busyUntil;

	private long[] runningBlocks = {};

	/**
	 * Creates the state of a worker that came up empty.
	 * @param worker the worker
	 * @param priorMsPerToken the cost expected before anything is learnt
	 * @param shared the blocks that several prompts had
	 */
	public PrefillWorker(Worker worker, double priorMsPerToken, SharedBlocks shared) {
		if (worker.role() != WorkerRole.PREFILL) {
			throw new IllegalArgumentException("not a prefill worker: " + worker.id());
		}
		this.worker = worker;
		this.fit = new LinearFit(0, priorMsPerToken, TYPICAL_TOKENS, FIT_MEMORY);
		this.prefixIndex = new PrefixIndex(worker.cacheTokens() / BLOCK_TOKENS, shared::isShared);
	}

	/**
	 * Returns the worker.
	 * @return the worker
	 */
	public Worker worker() {
		return this.worker;
	}

	/**
	 * Returns its identifier.
	 * @return the identifier
	 */
	public String id() {
		return this.worker.id();
	}

	/**
	 * Returns what its cache is believed to hold.
	 * @return the index
	 */
	public PrefixIndex prefixIndex() {
		return this.prefixIndex;
	}

	/**
	 * Returns whether it is leaving.
	 * @return {@code true} if it takes no new work
	 */
	public boolean isDraining() {
		return this.isDraining;
	}

	/**
	 * Marks it as leaving.
	 */
	public void drain() {
		this.isDraining = true;
	}

	/**
	 * Returns whether it can start a prefill now.
	 * @return {@code true} if it is idle and not leaving
	 */
	public boolean isIdle() {
		return this.running == 0 && !this.isDraining;
	}

	/**
	 * Returns when it is expected to be free.
	 * @param now the present time in milliseconds
	 * @return the time in milliseconds, not before {@code now}
	 */
	public double expectedFreeAt(long now) {
		return (this.running == 0) ? now : Math.max(now, this.busyUntil);
	}

	/**
	 * Predicts the length of a prefill.
	 * @param tokens the tokens that are not cached
	 * @return milliseconds
	 */
	public double predictPrefillMs(int tokens) {
		return this.fit.predict(tokens);
	}

	/**
	 * Returns the tokens of a prompt that would have to be computed.
	 * @param promptTokens the whole prompt
	 * @param blocks the hashes of its leading blocks
	 * @param expected whether the prompt that is being read now counts as cached
	 * @return tokens, at least 1
	 */
	public int uncachedTokens(int promptTokens, long[] blocks, boolean expected) {
		int held = this.prefixIndex.match(blocks);
		if (expected && this.runningBlocks.length > 0) {
			held = Math.max(held, common(blocks, this.runningBlocks));
		}
		return Math.max(1, promptTokens - held * BLOCK_TOKENS);
	}

	/**
	 * Returns what reading a prompt here would cost later prompts, whose preambles it
	 * pushes out of the cache.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param since what was not used since this time is no loss, in milliseconds
	 * @return milliseconds of prefill
	 */
	public double evictionCostMs(long[] blocks, long since) {
		if (this.prefixIndex.hasRoom(blocks.length)) {
			return 0;
		}
		return this.fit.slope() * BLOCK_TOKENS * this.prefixIndex.pushedOut(blocks, this.prefixIndex.match(blocks), since);
	}

	/**
	 * Returns what reading a prompt here would save later ones with the same preamble.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @return milliseconds of prefill
	 */
	public double warmingBenefitMs(long[] blocks) {
		return this.fit.slope() * BLOCK_TOKENS * (this.prefixIndex.sharedIn(blocks) - this.prefixIndex.match(blocks));
	}

	/**
	 * Starts a prefill.
	 * @param attempt the attempt, not 0
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param finishAt when it is expected to finish, in milliseconds
	 */
	public void startPrefill(long attempt, long[] blocks, double finishAt) {
		this.running = attempt;
		this.runningBlocks = blocks;
		this.busyUntil = finishAt;
	}

	/**
	 * Ends a prefill that finished, and learns from it.
	 * @param attempt the attempt
	 * @param promptTokens the whole prompt
	 * @param computedTokens the tokens that were computed
	 * @param tookMs how long it took
	 * @param now the present time in milliseconds
	 */
	public void finishPrefill(long attempt, int promptTokens, int computedTokens, double tookMs, long now) {
		if (this.running != attempt) {
			return;
		}
		this.fit.observe(computedTokens, tookMs);
		this.prefixIndex.correct(this.runningBlocks, (promptTokens - computedTokens) / BLOCK_TOKENS);
		this.prefixIndex.recordPrompt(this.runningBlocks, now);
		free();
	}

	/**
	 * Ends a prefill that was cancelled or failed.
	 * @param attempt the attempt
	 */
	public void abortPrefill(long attempt) {
		if (this.running == attempt) {
			free();
		}
	}

	private void free() {
		this.running = 0;
		this.runningBlocks = new long[0];
		this.busyUntil = 0;
	}

	private static int common(long[] a, long[] b) {
		int lo = 0;
		int hi = Math.min(a.length, b.length);
		while (lo < hi) {
			int mid = (lo + hi + 1) >>> 1;
			if (a[mid - 1] == b[mid - 1]) {
				lo = mid;
			}
			else {
				hi = mid - 1;
			}
		}
		return lo;
	}

}
