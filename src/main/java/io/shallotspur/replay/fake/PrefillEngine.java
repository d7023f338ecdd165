package io.shallotspur.replay.fake;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import io.shallotspur.replay.fake.PrefixCache.Prefix;

/**
 * A fake prefill worker. It reads one prompt at a time, keeps shared preambles in a
 * prefix cache, and evicts a result on which no transfer has begun in time. Not
 * thread-safe.
 * <p>
 * Invariant: each job ends in exactly one of done, cancelled and lost in a crash.
 */
public final class PrefillEngine {

	private final EventQueue queue;

	private final double msPerToken;

	private final long kvTtlMs;

	private final PrefixCache cache;

	private final Listener listener;

	private final Deque<Job> waiting = new ArrayDeque<>();

	private final Map<Long, Kv> results = new HashMap<>();

	private @Nullable Job running;

	private boolean up = true;

	/**
	 * Creates an idle worker.
	 * @param queue virtual time
	 * @param msPerToken time for one token that is not cached, in milliseconds
	 * @param cacheTokens the size of the prefix cache
	 * @param kvTtlMs how long an unused result is kept, in milliseconds
	 * @param listener is told what happens
	 */
	public PrefillEngine(EventQueue queue, double msPerToken, int cacheTokens, long kvTtlMs, Listener listener) {
		this.queue = queue;
		this.msPerToken = msPerToken;
		this.kvTtlMs = kvTtlMs;
		this.cache = new PrefixCache(cacheTokens);
		this.listener = listener;
	}

	/**
	 * Kills the process: queue, results and cache are gone.
	 */
	public void crash() {
		this.up = false;
		Job job = this.running;
		this.running = null;
		if (job != null) {
			this.listener.prefillAborted(job.attempt, computedSoFar(job));
		}
		this.waiting.clear();
		this.results.clear();
		this.cache.clear();
	}

	/**
	 * Starts the process again, empty.
	 */
	public void restart() {
		this.up = true;
	}

	/**
	 * Returns whether the process runs.
	 * @return whether it is up
	 */
	public boolean isUp() {
		return this.up;
	}

	/**
	 * Returns the prompts held: running, waiting and finished.
	 * @return the number of attempts
	 */
	public int active() {
		return this.waiting.size() + this.results.size() + ((this.running != null) ? 1 : 0);
	}

	/**
	 * Returns whether anything is held for an attempt.
	 * @param attempt the attempt
	 * @return whether it is queued, running or finished here
	 */
	public boolean holds(long attempt) {
		Job job = this.running;
		return (job != null && job.attempt == attempt) || this.results.containsKey(attempt)
				|| this.waiting.stream().anyMatch((j) -> j.attempt == attempt);
	}

	/**
	 * Queues a prompt. The worker must be up.
	 * @param attempt the attempt
	 * @param tokens the tokens of the whole prompt
	 * @param prefix its shared preamble, or {@code null}
	 */
	public void submit(long attempt, int tokens, @Nullable Prefix prefix) {
		this.waiting.add(new Job(attempt, tokens, prefix));
		startNext();
	}

	/**
	 * Drops a prompt, whether it waits, runs or is finished.
	 * @param attempt the attempt
	 */
	public void cancel(long attempt) {
		this.results.remove(attempt);
		this.waiting.removeIf((j) -> j.attempt == attempt);
		Job job = this.running;
		if (job != null && job.attempt == attempt) {
			this.running = null;
			this.listener.prefillAborted(attempt, computedSoFar(job));
			startNext();
		}
	}

	/**
	 * Pins a result for a transfer.
	 * @param attempt the attempt
	 * @return whether the result is still there
	 */
	public boolean beginTransfer(long attempt) {
		Kv kv = this.results.get(attempt);
		if (kv == null) {
			return false;
		}
		kv.pinned = true;
		return true;
	}

	/**
	 * Ends a transfer that did not succeed: from now on the result may be evicted again.
	 * @param attempt the attempt
	 */
	public void abortTransfer(long attempt) {
		Kv kv = this.results.get(attempt);
		if (kv != null) {
			kv.pinned = false;
			armEviction(attempt, kv);
		}
	}

	private void startNext() {
		if (this.running != null) {
			return;
		}
		Job job = this.waiting.poll();
		if (job == null) {
			return;
		}
		this.running = job;
		job.startedAt = this.queue.now();
		Prefix p = job.prefix;
		job.compute = (p != null && this.cache.touch(p)) ? job.tokens - p.tokens() : job.tokens;
		this.queue.after(Math.round(job.compute * this.msPerToken * EventQueue.MS), () -> finish(job));
	}

	private void finish(Job job) {
		if (this.running != job) {
			return;
		}
		this.running = null;
		Kv kv = new Kv();
		this.results.put(job.attempt, kv);
		armEviction(job.attempt, kv);
		Prefix p = job.prefix;
		if (p != null && this.cache.add(p, (e) -> this.listener.cacheChanged(e, false))) {
			this.listener.cacheChanged(p, true);
		}
		this.listener.prefillDone(job.attempt, job.compute);
		startNext();
	}

	private void armEviction(long attempt, Kv kv) {
		long round = ++kv.round;
		this.queue.after(this.kvTtlMs * EventQueue.MS, () -> {
			if (!kv.pinned && kv.round == round) {
				this.results.remove(attempt, kv);
			}
		});
	}

	private int computedSoFar(Job job) {
		double ms = (this.queue.now() - job.startedAt) / (double) EventQueue.MS;
		return (int) Math.min(job.compute, Math.floor(ms / this.msPerToken));
	}

	/**
	 * Is told what happens at the worker.
	 */
	public interface Listener {

		/**
		 * A prompt was read.
		 * @param attempt the attempt
		 * @param computed the tokens that were not cached
		 */
		void prefillDone(long attempt, int computed);

		/**
		 * A prompt was cancelled or lost while it was read.
		 * @param attempt the attempt
		 * @param computed the tokens computed so far
		 */
		void prefillAborted(long attempt, int computed);

		/**
		 * A preamble entered or left the cache.
		 * @param prefix the preamble
		 * @param stored {@code true} if it entered
		 */
		void cacheChanged(Prefix prefix, boolean stored);

	}

	private static final class Job {

		private final long attempt;

		private final int tokens;

		private final @Nullable Prefix prefix;

		private long startedAt;

		private int compute;

		Job(long attempt, int tokens, @Nullable Prefix prefix) {
			this.attempt = attempt;
			this.tokens = tokens;
			this.prefix = prefix;
		}

	}

	private static final class Kv {

		private boolean pinned;

		private long round;

	}

}
