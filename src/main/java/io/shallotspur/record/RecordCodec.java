package io.shallotspur.record;

import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import io.shallotspur.exc.InputException;

/**
 * Writes parts of the record as MessagePack. Only the buckets of histograms that are in
 * use are written, so that a value grows with what happened. Stateless and thread-safe.
 */
public final class RecordCodec {

	private static final int VERSION = 1;

	private static final int MAX_SLICES = 1_000_000;

	private RecordCodec() {
	}

	/**
	 * Encodes a part.
	 * @param part the part
	 * @return the bytes, the same for equal parts
	 */
	public static byte[] encode(RecordPart part) {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packInt(VERSION);
			p.packString(part.node());
			p.packLong(part.incarnation());
			p.packLong(part.sequence());
			p.packLong(part.startedAt());
			p.packLong(part.unrecorded());
			p.packArrayHeader(part.slices().size());
			String customer = "";
			long base = part.startedAt() / Recorder.MINUTE_MS;
			for (Map.Entry<SliceKey, ClassCounts> e : part.slices().entrySet()) {
				SliceKey k = e.getKey();
				p.packString(k.customer().equals(customer) ? "" : k.customer());
				p.packString(k.className());
				p.packLong(k.minute() - base);
				packCounts(p, e.getValue());
				customer = k.customer();
			}
			return p.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("A buffer in memory does not fail", ex);
		}
	}

	/**
	 * Decodes a part.
	 * @param bytes the bytes
	 * @param key the store key, for errors
	 * @return the part
	 * @throws InputException if the bytes are no part of a version that is known
	 */
	public static RecordPart decode(byte[] bytes, String key) throws InputException {
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
			int version = u.unpackInt();
			if (version != VERSION) {
				throw new InputException("The record has version " + version + "; known: " + VERSION, key);
			}
			String node = u.unpackString();
			long incarnation = u.unpackLong();
			long sequence = u.unpackLong();
			long startedAt = u.unpackLong();
			long unrecorded = u.unpackLong();
			SortedMap<SliceKey, ClassCounts> slices = unpackSlices(u, startedAt / Recorder.MINUTE_MS);
			return new RecordPart(node, incarnation, sequence, startedAt, unrecorded, slices);
		}
		catch (IOException | RuntimeException ex) {
			// The library signals malformed input by unchecked exceptions of its own.
			throw new InputException("The record is damaged: " + ex, key, ex);
		}
	}

	private static SortedMap<SliceKey, ClassCounts> unpackSlices(MessageUnpacker u, long base) throws IOException {
		SortedMap<SliceKey, ClassCounts> slices = new TreeMap<>();
		int n = checkCount(u.unpackArrayHeader(), MAX_SLICES);
		String customer = "";
		for (int i = 0; i < n; i++) {
			String name = u.unpackString();
			customer = name.isEmpty() ? customer : name;
			String className = u.unpackString();
			long minute = base + u.unpackLong();
			slices.put(new SliceKey(customer, className, minute), unpackCounts(u));
		}
		return slices;
	}

	private static void packCounts(MessageBufferPacker p, ClassCounts c) throws IOException {
		for (Verdict v : Verdict.values()) {
			p.packLong(c.count(v));
		}
		p.packLong(c.prefillTokens());
		p.packLong(c.wastedPrefillTokens());
		packHistogram(p, c.ttft());
		packHistogram(p, c.tbt());
	}

	private static ClassCounts unpackCounts(MessageUnpacker u) throws IOException {
		long[] verdicts = new long[Verdict.values().length];
		for (int i = 0; i < verdicts.length; i++) {
			verdicts[i] = u.unpackLong();
		}
		long prefill = u.unpackLong();
		long wasted = u.unpackLong();
		Histogram ttft = unpackHistogram(u);
		Histogram tbt = unpackHistogram(u);
		return new ClassCounts(verdicts, prefill, wasted, ttft, tbt);
	}

	private static void packHistogram(MessageBufferPacker p, Histogram h) throws IOException {
		int buckets = 0;
		for (HistogramIterationValue v : h.recordedValues()) {
			buckets += (v.getCountAddedInThisIterationStep() > 0) ? 1 : 0;
		}
		p.packArrayHeader(buckets);
		long last = 0;
		for (HistogramIterationValue v : h.recordedValues()) {
			long value = h.lowestEquivalentValue(v.getValueIteratedTo());
			p.packLong(value - last);
			p.packLong(v.getCountAddedInThisIterationStep());
			last = value;
		}
	}

	private static Histogram unpackHistogram(MessageUnpacker u) throws IOException {
		Histogram h = ClassCounts.newHistogram();
		int buckets = checkCount(u.unpackArrayHeader(), MAX_SLICES);
		long value = 0;
		for (int i = 0; i < buckets; i++) {
			value += u.unpackLong();
			h.recordValueWithCount(value, u.unpackLong());
		}
		return h;
	}

	private static int checkCount(int n, int most) throws IOException {
		if (n > most) {
			throw new IOException(n + " elements are more than " + most);
		}
		return n;
	}

}
