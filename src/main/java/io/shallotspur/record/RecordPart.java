package io.shallotspur.record;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What one node counted in one interval; the value of one record of the store. Not
 * changed after it was made.
 * <p>
 * Invariant: node, incarnation and sequence name a part for all time, so that writing it
 * twice leaves one record.
 */
public final class RecordPart {

	/**
	 * Prefix of the keys of all parts.
	 */
	public static final String PREFIX = "record/";

	/**
	 * The sequence of a part that was not sent yet.
	 */
	public static final long UNNUMBERED = -1;

	private static final long HOUR_MS = 3_600_000;

	private static final DateTimeFormatter HOUR = DateTimeFormatter.ofPattern("yyyyMMddHH").withZone(ZoneOffset.UTC);

	private final String node;

	private final long incarnation;

	private final long sequence;

	private final long startedAt;

	private final long unrecorded;

	private final SortedMap<SliceKey, ClassCounts> slices;

	/**
	 * Creates a part.
	 * @param node the node that counted
	 * @param incarnation differs for each life of the node
	 * @param sequence unique within the incarnation, or {@link #UNNUMBERED}
	 * @param startedAt when the interval began, in milliseconds since the epoch
	 * @param unrecorded requests for which there was no room
	 * @param slices the counts
	 */
	public RecordPart(String node, long incarnation, long sequence, long startedAt, long unrecorded,
			SortedMap<SliceKey, ClassCounts> slices) {
		this.node = node;
		this.incarnation = incarnation;
		this.sequence = sequence;
		this.startedAt = startedAt;
		this.unrecorded = unrecorded;
		this.slices = new TreeMap<>(slices);
	}

	/**
	 * Returns the prefix of the keys of all parts of an hour.
	 * @param at an instant in that hour, in milliseconds since the epoch
	 * @return the prefix
	 */
	public static String hourPrefix(long at) {
		return PREFIX + HOUR.format(Instant.ofEpochMilli(at)) + "/";
	}

	/**
	 * Returns the start of an hour.
	 * @param at an instant in that hour, in milliseconds since the epoch
	 * @return its first instant
	 */
	public static long hourStart(long at) {
		return Math.floorDiv(at, HOUR_MS) * HOUR_MS;
	}

	/**
	 * Returns the key under which the part is stored.
	 * @return the key
	 */
	public String key() {
		return hourPrefix(this.startedAt) + this.node + "/" + this.incarnation + "/" + this.sequence;
	}

	/**
	 * Returns the node that counted.
	 * @return the node
	 */
	public String node() {
		return this.node;
	}

	/**
	 * Returns which life of the node counted.
	 * @return the incarnation
	 */
	public long incarnation() {
		return this.incarnation;
	}

	/**
	 * Returns which part of the incarnation this is.
	 * @return the number
	 */
	public long sequence() {
		return this.sequence;
	}

	/**
	 * Returns when the interval began.
	 * @return milliseconds since the epoch
	 */
	public long startedAt() {
		return this.startedAt;
	}

	/**
	 * Returns the requests for which there was no room.
	 * @return the number of requests
	 */
	public long unrecorded() {
		return this.unrecorded;
	}

	/**
	 * Returns the counts.
	 * @return an unmodifiable map
	 */
	public SortedMap<SliceKey, ClassCounts> slices() {
		return Collections.unmodifiableSortedMap(this.slices);
	}

	/**
	 * Returns all requests of the part.
	 * @return the number of requests
	 */
	public long requests() {
		return this.unrecorded + this.slices.values().stream().mapToLong(ClassCounts::requests).sum();
	}

	/**
	 * Returns the same counts under a number.
	 * @param sequence unique within the incarnation
	 * @return a new part
	 */
	RecordPart withSequence(long sequence) {
		return new RecordPart(this.node, this.incarnation, sequence, this.startedAt, this.unrecorded, this.slices);
	}

	/**
	 * Splits a part that is too large for one value.
	 * @return two parts that together hold the counts of this one
	 */
	List<RecordPart> split() {
		List<SliceKey> keys = List.copyOf(this.slices.keySet());
		SliceKey middle = keys.get(keys.size() / 2);
		return List.of(withSlices(this.unrecorded, this.slices.headMap(middle)),
				withSlices(0, this.slices.tailMap(middle)));
	}

	/**
	 * Joins this part with another of the same hour. Counts stay exact; the minutes are
	 * given up and stand for the whole hour.
	 * @param other a part of the same node and incarnation
	 * @return a new part without a number
	 */
	RecordPart joinByHour(RecordPart other) {
		long minute = hourStart(this.startedAt) / Recorder.MINUTE_MS;
		SortedMap<SliceKey, ClassCounts> joined = new TreeMap<>();
		for (RecordPart p : new RecordPart[] { this, other }) {
			p.slices.forEach((k, c) -> joined
				.computeIfAbsent(new SliceKey(k.customer(), k.className(), minute), (x) -> new ClassCounts())
				.merge(c));
		}
		return withSlices(this.unrecorded + other.unrecorded, joined);
	}

	private RecordPart withSlices(long unrecorded, SortedMap<SliceKey, ClassCounts> slices) {
		return new RecordPart(this.node, this.incarnation, UNNUMBERED, this.startedAt, unrecorded, slices);
	}

}
