package io.shallotspur.routing;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * State of one prefill worker: its running prefill, the expected content of its prefix
 * cache, and its estimated prefill time. The worker processes one prompt at a time. Not
 * thread-safe.
 */
public final class PrefillWorker {

	private static final double TYPICAL_TOKENS = 2000;

	private static final double PREFILL_TIME_DECAY = 0.97;

	private static final int BLOCK_TOKENS = 256;

	private final Worker worker;

	private final LinearFit prefillTime;

	private final PrefixIndex prefixIndex;

	private boolean draining;

	private long runningAttempt;

	private double expectedFinishAt;

	private long[] runningBlocks = {};

	/**
	 * Creates the state of a worker that has just started.
	 * @param worker the worker
	 * @param priorMsPerToken the cost expected before any observation, in milliseconds
	 * per token
	 * @param sharedBlocks the blocks that occurred in more than one prompt
	 */
	public PrefillWorker(Worker worker, double priorMsPerToken, SharedBlocks sharedBlocks) {
		if (worker.role() != WorkerRole.PREFILL) {
			throw new IllegalArgumentException("not a prefill worker: " + worker.id());
		}
		this.worker = worker;
		this.prefillTime = new LinearFit(0, priorMsPerToken, TYPICAL_TOKENS, PREFILL_TIME_DECAY);
		this.prefixIndex = new PrefixIndex(worker.cacheTokens() / BLOCK_TOKENS, sharedBlocks::isShared);
	}

	/**
	 * Returns the worker.
	 * @return the worker
	 */
	public Worker worker() {
		return this.worker;
	}

	/**
	 * Returns the identifier of the worker.
	 * @return the identifier
	 */
	public String id() {
		return this.worker.id();
	}

	/**
	 * Returns the index of the blocks that its cache is expected to contain.
	 * @return the index
	 */
	public PrefixIndex prefixIndex() {
		return this.prefixIndex;
	}

	/**
	 * Returns whether the worker is draining.
	 * @return {@code true} if it accepts no new work
	 */
	public boolean isDraining() {
		return this.draining;
	}

	/**
	 * Marks the worker as draining.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Returns whether the worker can start a prefill now.
	 * @return {@code true} if it is idle and not draining
	 */
	public boolean isIdle() {
		return this.runningAttempt == 0 && !this.draining;
	}

	/**
	 * Returns when the worker is expected to be free.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds, not earlier than {@code now}
	 */
	public double expectedFreeAt(long now) {
		return (this.runningAttempt == 0) ? now : Math.max(now, this.expectedFinishAt);
	}

	/**
	 * Predicts the duration of a prefill.
	 * @param uncachedTokens the number of tokens to compute
	 * @return the duration in milliseconds
	 */
	public double predictPrefillMs(int uncachedTokens) {
		return this.prefillTime.predict(uncachedTokens);
	}

	/**
	 * Returns the number of tokens of a prompt that would have to be computed.
	 * @param promptTokens the length of the prompt in tokens
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param includeRunning whether the blocks of the running prefill count as cached
	 * @return the number of tokens, at least 1
	 */
	public int uncachedTokens(int promptTokens, long[] blocks, boolean includeRunning) {
		int cachedBlocks = this.prefixIndex.match(blocks);
		if (includeRunning && this.runningBlocks.length > 0) {
			cachedBlocks = Math.max(cachedBlocks, commonPrefixLength(blocks, this.runningBlocks));
		}
		return Math.max(1, promptTokens - cachedBlocks * BLOCK_TOKENS);
	}

	/**
	 * Returns the additional cost to later prompts if a prefill of this prompt evicts
	 * their shared prefixes from the cache.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param usedSince evicting blocks that were last used before this time costs
	 * nothing, in milliseconds
	 * @return the cost in milliseconds of prefill time
	 */
	public double evictionCostMs(long[] blocks, long usedSince) {
		if (this.prefixIndex.hasRoom(blocks.length)) {
			return 0;
		}
		return this.prefillTime.slope() * BLOCK_TOKENS
				* this.prefixIndex.countEvictedShared(blocks, this.prefixIndex.match(blocks), usedSince);
	}

	/**
	 * Returns the prefill time that later prompts with the same shared prefix would save
	 * if this prompt were prefilled here.
	 * @param blocks the hashes of the prompt's leading blocks
	 * @return the saving in milliseconds of prefill time
	 */
	public double warmingBenefitMs(long[] blocks) {
		return this.prefillTime.slope() * BLOCK_TOKENS
				* (this.prefixIndex.sharedPrefixLength(blocks) - this.prefixIndex.match(blocks));
	}

	/**
	 * Records the start of a prefill.
	 * @param attempt the attempt, not 0
	 * @param blocks the hashes of the prompt's leading blocks
	 * @param expectedFinish when the prefill is expected to finish, in milliseconds
	 */
	public void startPrefill(long attempt, long[] blocks, double expectedFinish) {
		this.runningAttempt = attempt;
		this.runningBlocks = blocks;
		this.expectedFinishAt = expectedFinish;
	}

	/**
	 * Records the successful end of a prefill, and updates the time estimate and the
	 * prefix index.
	 * @param attempt the attempt
	 * @param promptTokens the length of the prompt in tokens
	 * @param computedTokens the number of tokens that were computed
	 * @param durationMs the duration in milliseconds
	 * @param now the current time in milliseconds
	 */
	public void finishPrefill(long attempt, int promptTokens, int computedTokens, double durationMs, long now) {
		if (this.runningAttempt != attempt) {
			return;
		}
		this.prefillTime.observe(computedTokens, durationMs);
		this.prefixIndex.removeFrom(this.runningBlocks, (promptTokens - computedTokens) / BLOCK_TOKENS);
		this.prefixIndex.recordPrompt(this.runningBlocks, now);
		clearRunning();
	}

	/**
	 * Records the end of a prefill that was cancelled or failed.
	 * @param attempt the attempt
	 */
	public void abortPrefill(long attempt) {
		if (this.runningAttempt == attempt) {
			clearRunning();
		}
	}

	private void clearRunning() {
		this.runningAttempt = 0;
		this.runningBlocks = new long[0];
		this.expectedFinishAt = 0;
	}

	// Block hashes cover all preceding blocks, so a binary search finds the common
	// prefix.
	private static int commonPrefixLength(long[] a, long[] b) {
		int low = 0;
		int high = Math.min(a.length, b.length);
		while (low < high) {
			int middle = (low + high + 1) >>> 1;
			if (a[middle - 1] == b[middle - 1]) {
				low = middle;
			}
			else {
				high = middle - 1;
			}
		}
		return low;
	}

}
