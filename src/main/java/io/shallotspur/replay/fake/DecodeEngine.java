package io.shallotspur.replay.fake;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A fake decode worker. Transfers to it share its link equally; decoding requests share
 * steps, each of which gives every one of them one token. Not thread-safe.
 * <p>
 * Invariant: a request holds one slot from the start of its transfer to its last token,
 * its cancellation or a crash, and no more slots are held than the worker has.
 */
public final class DecodeEngine {

	private static final double NEAR_ZERO_MB = 1e-6;

	private final EventQueue queue;

	private final int slots;

	private final double stepBaseMs;

	private final double stepMsPerRequest;

	private final double linkMbPerMs;

	private final Listener listener;

	private final Map<Long, Slot> held = new LinkedHashMap<>();

	private boolean up = true;

	private boolean stepping;

	private long life;

	private long linkRound;

	private long linkSettledAt;

	private long stalledUntil;

	/**
	 * Creates an idle worker.
	 * @param queue virtual time
	 * @param slots requests that its memory holds
	 * @param stepBaseMs time of a step without requests, in milliseconds
	 * @param stepMsPerRequest what each request adds to a step, in milliseconds
	 * @param linkMbPerS the rate of its link in MB/s
	 * @param listener is told what happens
	 */
	public DecodeEngine(EventQueue queue, int slots, double stepBaseMs, double stepMsPerRequest, double linkMbPerS,
			Listener listener) {
		this.queue = queue;
		this.slots = slots;
		this.stepBaseMs = stepBaseMs;
		this.stepMsPerRequest = stepMsPerRequest;
		this.linkMbPerMs = linkMbPerS / 1000.0;
		this.listener = listener;
	}

	/**
	 * Kills the process: all that it holds is gone.
	 */
	public void crash() {
		this.up = false;
		this.life++;
		this.linkRound++;
		this.stepping = false;
		this.held.clear();
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
	 * Returns the slots in use.
	 * @return the number of requests held
	 */
	public int active() {
		return this.held.size();
	}

	/**
	 * Returns whether a slot is held for an attempt.
	 * @param attempt the attempt
	 * @return whether it is held
	 */
	public boolean holds(long attempt) {
		return this.held.containsKey(attempt);
	}

	/**
	 * Stops all transfers to this worker for a while.
	 * @param forMs how long, in milliseconds
	 */
	public void stall(long forMs) {
		settleLink();
		this.stalledUntil = Math.max(this.stalledUntil, this.queue.now() + forMs * EventQueue.MS);
		armLink();
	}

	/**
	 * Takes a slot and begins a transfer into it.
	 * @param attempt the attempt
	 * @param megabytes the size of the KV cache
	 * @return {@code false} if no slot is free
	 */
	public boolean beginTransfer(long attempt, double megabytes) {
		if (this.held.size() >= this.slots || this.held.containsKey(attempt)) {
			return false;
		}
		settleLink();
		this.held.put(attempt, new Slot(attempt, megabytes));
		armLink();
		return true;
	}

	/**
	 * Starts to generate from an imported KV cache.
	 * @param attempt the attempt
	 * @param tokens the tokens of the answer
	 * @return {@code false} if the KV cache is not here
	 */
	public boolean beginDecode(long attempt, int tokens) {
		Slot s = this.held.get(attempt);
		if (s == null || s.transferring) {
			return false;
		}
		s.tokensLeft = tokens;
		s.decoding = true;
		startStep();
		return true;
	}

	/**
	 * Frees the slot of an attempt, whatever it is doing.
	 * @param attempt the attempt
	 */
	public void cancel(long attempt) {
		settleLink();
		this.held.remove(attempt);
		armLink();
	}

	private void settleLink() {
		long now = this.queue.now();
		long from = Math.min(now, Math.max(this.linkSettledAt, this.stalledUntil));
		double ms = (now - from) / (double) EventQueue.MS;
		this.linkSettledAt = now;
		List<Slot> moving = moving();
		double share = ms * this.linkMbPerMs / Math.max(1, moving.size());
		moving.forEach((s) -> s.megabytes -= share);
	}

	private void armLink() {
		long round = ++this.linkRound;
		List<Slot> moving = moving();
		if (moving.isEmpty()) {
			return;
		}
		double least = moving.stream().mapToDouble((s) -> s.megabytes).min().orElse(0);
		double ms = Math.max(0, least) * moving.size() / this.linkMbPerMs;
		long start = Math.max(this.queue.now(), this.stalledUntil);
		this.queue.at(start + (long) Math.ceil(ms * EventQueue.MS), () -> {
			if (this.linkRound == round) {
				endTransfers();
			}
		});
	}

	private void endTransfers() {
		settleLink();
		List<Slot> ended = moving().stream().filter((s) -> s.megabytes <= NEAR_ZERO_MB).toList();
		ended.forEach((s) -> s.transferring = false);
		armLink();
		ended.forEach((s) -> this.listener.transferDone(s.attempt));
	}

	private List<Slot> moving() {
		return this.held.values().stream().filter((s) -> s.transferring).toList();
	}

	private void startStep() {
		List<Slot> batch = this.held.values().stream().filter((s) -> s.decoding).toList();
		if (this.stepping || batch.isEmpty()) {
			return;
		}
		this.stepping = true;
		double ms = this.stepBaseMs + this.stepMsPerRequest * batch.size();
		long born = this.life;
		this.queue.after(Math.round(ms * EventQueue.MS), () -> {
			if (this.life == born) {
				endStep(batch, ms);
			}
		});
	}

	private void endStep(List<Slot> batch, double ms) {
		this.stepping = false;
		List<Slot> present = new ArrayList<>(batch);
		present.removeIf((s) -> this.held.get(s.attempt) != s);
		for (Slot s : present) {
			s.tokensLeft--;
			if (s.tokensLeft <= 0) {
				this.held.remove(s.attempt);
			}
		}
		this.listener.stepDone(batch.size(), ms);
		present.forEach((s) -> this.listener.token(s.attempt, s.tokensLeft <= 0));
		startStep();
	}

	/**
	 * Is told what happens at the worker.
	 */
	public interface Listener {

		/**
		 * A KV cache has arrived.
		 * @param attempt the attempt
		 */
		void transferDone(long attempt);

		/**
		 * A token was generated.
		 * @param attempt the attempt
		 * @param last whether it ends the answer
		 */
		void token(long attempt, boolean last);

		/**
		 * A step ended.
		 * @param batch the requests in it
		 * @param ms its length in milliseconds
		 */
		void stepDone(int batch, double ms);

	}

	private static final class Slot {

		private final long attempt;

		private double megabytes;

		private boolean transferring = true;

		private boolean decoding;

		private int tokensLeft;

		Slot(long attempt, double megabytes) {
			this.attempt = attempt;
			this.megabytes = megabytes;
		}

	}

}
