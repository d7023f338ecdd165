package io.shallotspur.registry;

import java.util.LinkedHashMap;
import java.util.Map;

import io.shallotspur.gateway.WorkerInfo;

/**
 * The workers that started draining or whose entries were removed in the last minute. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * A store that was restored from an older snapshot shows these workers as they were
 * before. Until they have had time to write again, this record is more recent than the
 * store. Without it, requests would be sent to workers that are exiting or have exited.
 */
final class RecentDepartures {

	// A snapshot is some seconds old, and so are the entries that a restore brings back,
	// ms.
	private static final long RETENTION_MS = 60_000;

	// The oldest departure is dropped beyond this number; fewer workers depart in a
	// minute.
	private static final int MAX_DEPARTURES = 10_000;

	private final Map<String, Departure> byId = new LinkedHashMap<>();

	void add(String id, long startedAt, long now) {
		this.byId.remove(id);
		this.byId.put(id, new Departure(startedAt, now));
		this.byId.values().removeIf((d) -> now - d.recordedAt() > RETENTION_MS);
		if (this.byId.size() > MAX_DEPARTURES) {
			this.byId.remove(this.byId.keySet().iterator().next());
		}
	}

	void remove(String id) {
		this.byId.remove(id);
	}

	boolean hasDeparted(WorkerInfo w, long now) {
		Departure d = this.byId.get(w.id());
		boolean restarted = d != null && d.startedAt() > 0 && w.startedAt() > d.startedAt();
		return d != null && !restarted && now - d.recordedAt() <= RETENTION_MS;
	}

	/**
	 * A departure. Immutable.
	 *
	 * @param startedAt when the departed process had started, in Unix milliseconds; 0 if
	 * unknown
	 * @param recordedAt when this VM learned of the departure, in milliseconds
	 */
	private record Departure(long startedAt, long recordedAt) {

	}

}
