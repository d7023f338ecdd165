package io.shallotspur.record;

import java.io.IOException;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

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
		packBuckets(p, c.ttftBuckets());
		packBuckets(p, c.tbtBuckets());
	}

	private static ClassCounts unpackCounts(MessageUnpacker u) throws IOException {
		long[] verdicts = new long[Verdict.values().length];
		for (int i = 0; i < verdicts.length; i++) {
			verdicts[i] = u.unpackLong();
		}
		long prefill = u.unpackLong();
		long wasted = u.unpackLong();
		BucketCounts ttft = unpackBuckets(u);
		BucketCounts tbt = unpackBuckets(u);
		return new ClassCounts(verdicts, prefill, wasted, ttft, tbt);
	}

	private static void packBuckets(MessageBufferPacker p, BucketCounts b) throws IOException {
		p.packArrayHeader(b.size());
		long last = 0;
		for (int i = 0; i < b.size(); i++) {
			p.packLong(b.value(i) - last);
			p.packLong(b.count(i));
			last = b.value(i);
		}
	}

	private static BucketCounts unpackBuckets(MessageUnpacker u) throws IOException {
		BucketCounts b = new BucketCounts();
		int n = checkCount(u.unpackArrayHeader(), MAX_SLICES);
		long value = 0;
		for (int i = 0; i < n; i++) {
			value += u.unpackLong();
			b.add(value, u.unpackLong());
		}
		return b;
	}

	private static int checkCount(int n, int most) throws IOException {
		if (n > most) {
			throw new IOException(n + " elements are more than " + most);
		}
		return n;
	}

}
