package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Which workers have lately refused a place, and to requests of what size. Not
 * thread-safe; the present time is an argument.
 * <p>
 * A worker that has refused is left alone for a while, so that many VMs do not spend
 * their time asking. It may still have memory for a request that needs clearly less: left
 * alone by all, it would stand half empty while callers wait.
 */
final class RecentRefusals {

	// A worker that has refused a request may have memory for one that needs this part of
	// it: requests differ by half of their mean, and each step of asking costs a call.
	private static final double CLEARLY_LESS = 0.75;

	private final Map<String, Refusal> byWorker = new HashMap<>();

	/**
	 * Takes a refusal.
	 * @param worker the worker
	 * @param tokens the memory that was asked for, in tokens
	 * @param until until when the worker is left alone by requests of that size
	 * @param lateUntil until when it is left alone by those who are late
	 * @param now the present time in milliseconds
	 */
	void refused(String worker, int tokens, long until, long lateUntil, long now) {
		// Workers that are gone refuse no more, and start again under other names.
		this.byWorker.values().removeIf((r) -> now >= r.lateUntil());
		Refusal old = this.byWorker.get(worker);
		int least = (old != null && now < old.until()) ? Math.min(tokens, old.tokens()) : tokens;
		this.byWorker.put(worker, new Refusal(least, until, lateUntil));
	}

	/**
	 * Takes that a place has become free at a worker.
	 * @param worker the worker
	 * @param lateUntil until when the place is left to those in time
	 * @param now the present time in milliseconds
	 */
	void freed(String worker, long lateUntil, long now) {
		this.byWorker.computeIfPresent(worker, (id, r) -> new Refusal(r.tokens(), now, lateUntil));
	}

	/**
	 * Tells whether a worker may have a place.
	 * @param worker the worker
	 * @param tokens the memory that is needed, in tokens
	 * @param late whether the caller is late in any case
	 * @param now the present time in milliseconds
	 * @return {@code false} if it is to be left alone
	 */
	boolean mayFit(String worker, int tokens, boolean late, long now) {
		Refusal r = this.byWorker.get(worker);
		if (r == null) {
			return true;
		}
		return late ? now >= r.lateUntil() : now >= r.until() || tokens < CLEARLY_LESS * r.tokens();
	}

	/**
	 * Returns when the next worker may be asked again.
	 * @param now the present time in milliseconds
	 * @param latest the answer if none is left alone until then
	 * @return a time in milliseconds, after now
	 */
	long nextEnd(long now, long latest) {
		return this.byWorker.values()
			.stream()
			.mapToLong(Refusal::until)
			.filter((t) -> t > now)
			.reduce(latest, Math::min);
	}

	/**
	 * What a worker refused last. Immutable.
	 *
	 * @param tokens the least memory that it refused
	 * @param until until when it is left alone by requests of that size
	 * @param lateUntil until when it is left alone by those who are late
	 */
	private record Refusal(int tokens, long until, long lateUntil) {

	}

}
