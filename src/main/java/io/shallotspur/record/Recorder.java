package io.shallotspur.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Counts the ends of requests, by customer, class and minute. Thread-safe.
 * <p>
 * Invariant: each request that is passed to {@link #finished} is in exactly one part
 * returned by {@link #drain}, either in the counts or, when there is no more room, in
 * {@link RecordPart#unrecorded()}.
 */
public final class Recorder implements RequestLog, PrefillLog {

	/**
	 * The length of an interval.
	 */
	public static final long MINUTE_MS = 60_000;

	private final String node;

	private final long incarnation;

	private final int maxSlices;

	private final SortedMap<Long, Interval> intervals = new TreeMap<>();

	private int slices;

	/**
	 * Creates a recorder.
	 * @param node the node that counts
	 * @param incarnation differs for each life of the node
	 * @param maxSlices the most pairs of customer and class that are held at a time
	 */
	public Recorder(String node, long incarnation, int maxSlices) {
		this.node = node;
		this.incarnation = incarnation;
		this.maxSlices = maxSlices;
	}

	@Override
	public synchronized void finished(RequestEnd end, long now) {
		ClassCounts c = counts(end.customer(), end.className(), now);
		if (c != null) {
			c.add(end);
		}
	}

	@Override
	public synchronized void prefilled(String customer, String className, long computed, long wasted, long now) {
		ClassCounts c = counts(customer, className, now);
		if (c != null) {
			c.addPrefill(computed, wasted);
		}
	}

	// Returns the counts of a slice, or null and a note of it if there is no room.
	private @Nullable ClassCounts counts(String customer, String className, long now) {
		long minute = Math.floorDiv(now, MINUTE_MS);
		Interval i = this.intervals.computeIfAbsent(minute, (m) -> new Interval());
		SliceKey key = new SliceKey(customer, className, minute);
		ClassCounts c = i.slices.get(key);
		if (c == null && this.slices >= this.maxSlices) {
			i.unrecorded++;
			return null;
		}
		if (c == null) {
			c = new ClassCounts();
			i.slices.put(key, c);
			this.slices++;
		}
		return c;
	}

	/**
	 * Takes out the intervals that are over.
	 * @param now the present time in milliseconds since the epoch
	 * @return a part for each, oldest first
	 */
	public List<RecordPart> drain(long now) {
		return drainBefore(Math.floorDiv(now, MINUTE_MS));
	}

	/**
	 * Takes out all intervals, also the present one, before the node ends.
	 * @return a part for each, oldest first
	 */
	public List<RecordPart> drainAll() {
		return drainBefore(Long.MAX_VALUE);
	}

	private synchronized List<RecordPart> drainBefore(long minute) {
		List<RecordPart> parts = new ArrayList<>();
		SortedMap<Long, Interval> over = this.intervals.headMap(minute);
		for (Map.Entry<Long, Interval> e : over.entrySet()) {
			Interval i = e.getValue();
			this.slices -= i.slices.size();
			parts.add(new RecordPart(this.node, this.incarnation, RecordPart.UNNUMBERED, e.getKey() * MINUTE_MS,
					i.unrecorded, i.slices));
		}
		over.clear();
		return parts;
	}

	private static final class Interval {

		private final SortedMap<SliceKey, ClassCounts> slices = new TreeMap<>();

		private long unrecorded;

	}

}
