package io.shallotspur.registry;

import java.util.LinkedHashMap;
import java.util.Map;

import io.shallotspur.gateway.WorkerInfo;

/**
 * Workers that said that they leave, or whose entries were removed, in the last minute.
 * Not thread-safe; confined to the gateway's thread.
 * <p>
 * A store that comes back from an older copy shows them as they were before. Until they
 * have had the time to write again, what is known here is newer. Requests sent to them
 * would reach workers that are about to exit, or have.
 */
final class RecentDepartures {

	// A copy is some seconds old, ms; so is what it may bring back.
	private static final long REMEMBERED_MS = 60_000;

	// Beyond so many the oldest are forgotten: more do not leave in a minute.
	private static final int MOST = 10_000;

	private final Map<String, Departure> byId = new LinkedHashMap<>();

	void add(String id, long startedAt, long now) {
		this.byId.remove(id);
		this.byId.put(id, new Departure(startedAt, now));
		this.byId.values().removeIf((d) -> now - d.at() > REMEMBERED_MS);
		if (this.byId.size() > MOST) {
			this.byId.remove(this.byId.keySet().iterator().next());
		}
	}

	void remove(String id) {
		this.byId.remove(id);
	}

	boolean hasDeparted(WorkerInfo w, long now) {
		Departure d = this.byId.get(w.id());
		boolean startedAgain = d != null && d.startedAt() > 0 && w.startedAt() > d.startedAt();
		return d != null && !startedAgain && now - d.at() <= REMEMBERED_MS;
	}

	/**
	 * A departure. Immutable.
	 *
	 * @param startedAt the start of the life that ended, in Unix milliseconds; 0 if it
	 * was not told
	 * @param at when it was heard of, in milliseconds
	 */
	private record Departure(long startedAt, long at) {

	}

}
