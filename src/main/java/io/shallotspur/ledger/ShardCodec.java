package io.shallotspur.ledger;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import io.shallotspur.exc.InputException;

/**
 * Turns heads and segments into MessagePack and back. Attempts name their node by an
 * index into a table at the front. Stateless and thread-safe.
 */
public final class ShardCodec {

	private static final int FORMAT = 1;

	private static final int NOT_STARTED = 0;

	private static final int IN_FLIGHT = 1;

	private static final int ANSWERED = 2;

	private static final int ANSWERED_INLINE = 3;

	private static final int UNKNOWN = 4;

	private ShardCodec() {
	}

	/**
	 * Encodes a head.
	 * @param h the head
	 * @return its bytes
	 */
	public static byte[] encode(ShardHead h) {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packInt(FORMAT).packLong(h.sequence()).packLong(h.keyTimeWatermark());
			p.packArrayHeader(h.segments().size());
			for (SegmentRef r : h.segments()) {
				packRef(p, r);
			}
			p.packArrayHeader(h.batches().size());
			for (BatchId b : h.batches()) {
				p.packString(b.node()).packLong(b.incarnation()).packLong(b.number());
			}
			packEntries(p, h.entries());
			return p.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer in memory does no input or output", ex);
		}
	}

	/**
	 * Encodes a segment.
	 * @param s the segment
	 * @return its bytes
	 */
	public static byte[] encode(Segment s) {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packInt(FORMAT);
			packRef(p, s.ref());
			packEntries(p, s.entries());
			return p.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("a buffer in memory does no input or output", ex);
		}
	}

	/**
	 * Decodes a head.
	 * @param bytes what {@link #encode(ShardHead)} returned
	 * @return the head
	 * @throws InputException if the bytes are no head of this format
	 */
	public static ShardHead decodeHead(byte[] bytes) throws InputException {
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
			checkFormat(u);
			long sequence = u.unpackLong();
			long floor = u.unpackLong();
			List<SegmentRef> refs = new ArrayList<>();
			for (int n = u.unpackArrayHeader(); n > 0; n--) {
				refs.add(unpackRef(u));
			}
			List<BatchId> batches = new ArrayList<>();
			for (int n = u.unpackArrayHeader(); n > 0; n--) {
				batches.add(new BatchId(u.unpackString(), u.unpackLong(), u.unpackLong()));
			}
			return new ShardHead(sequence, floor, refs, batches, unpackEntries(u));
		}
		catch (IOException | RuntimeException ex) {
			throw new InputException("the record is no ledger head of a known format", null, ex);
		}
	}

	/**
	 * Decodes a segment.
	 * @param bytes what {@link #encode(Segment)} returned
	 * @return the segment
	 * @throws InputException if the bytes are no segment of this format
	 */
	public static Segment decodeSegment(byte[] bytes) throws InputException {
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
			checkFormat(u);
			return new Segment(unpackRef(u), unpackEntries(u));
		}
		catch (IOException | RuntimeException ex) {
			throw new InputException("the record is no ledger segment of a known format", null, ex);
		}
	}

	private static void checkFormat(MessageUnpacker u) throws IOException {
		int f = u.unpackInt();
		if (f != FORMAT) {
			throw new IOException("format " + f + " is not known");
		}
	}

	private static void packRef(MessageBufferPacker p, SegmentRef r) throws IOException {
		p.packLong(r.sequence()).packLong(r.headVersion()).packLong(r.maxKeyTime());
	}

	private static SegmentRef unpackRef(MessageUnpacker u) throws IOException {
		return new SegmentRef(u.unpackLong(), u.unpackLong(), u.unpackLong());
	}

	private static void packEntries(MessageBufferPacker p, Map<KeyDigest, LedgerEntry> entries) throws IOException {
		Map<Owner, Integer> owners = new LinkedHashMap<>();
		entries.values().forEach((e) -> owners.putIfAbsent(Owner.of(e.attempt()), owners.size()));
		p.packArrayHeader(owners.size());
		for (Owner o : owners.keySet()) {
			p.packString(o.node()).packLong(o.incarnation());
		}
		p.packArrayHeader(entries.size());
		for (LedgerEntry e : entries.values()) {
			p.packLong(e.key().hi()).packLong(e.key().lo()).packLong(e.bodyHash()).packLong(e.keyTime());
			p.packInt(owners.get(Owner.of(e.attempt()))).packLong(e.attempt().sequence());
			packState(p, e.state());
		}
	}

	private static Map<KeyDigest, LedgerEntry> unpackEntries(MessageUnpacker u) throws IOException {
		List<Owner> owners = new ArrayList<>();
		for (int n = u.unpackArrayHeader(); n > 0; n--) {
			owners.add(new Owner(u.unpackString(), u.unpackLong()));
		}
		int n = u.unpackArrayHeader();
		Map<KeyDigest, LedgerEntry> m = new HashMap<>(n * 2);
		for (int i = 0; i < n; i++) {
			KeyDigest key = new KeyDigest(u.unpackLong(), u.unpackLong());
			long body = u.unpackLong();
			long time = u.unpackLong();
			Owner o = owners.get(u.unpackInt());
			Attempt a = new Attempt(o.node(), o.incarnation(), u.unpackLong());
			m.put(key, new LedgerEntry(key, body, time, a, unpackState(u)));
		}
		return m;
	}

	private static void packState(MessageBufferPacker p, EntryState s) throws IOException {
		if (s instanceof EntryState.Answered a && a.answer() != null) {
			p.packInt(ANSWERED_INLINE).packBinaryHeader(a.answer().length).writePayload(a.answer());
		}
		else if (s instanceof EntryState.Answered) {
			p.packInt(ANSWERED);
		}
		else if (s instanceof EntryState.InFlight) {
			p.packInt(IN_FLIGHT);
		}
		else {
			p.packInt((s instanceof EntryState.Unknown) ? UNKNOWN : NOT_STARTED);
		}
	}

	private static EntryState unpackState(MessageUnpacker u) throws IOException {
		int code = u.unpackInt();
		return switch (code) {
			case NOT_STARTED -> new EntryState.NotStarted();
			case IN_FLIGHT -> new EntryState.InFlight();
			case ANSWERED -> new EntryState.Answered(null);
			case ANSWERED_INLINE -> new EntryState.Answered(u.readPayload(u.unpackBinaryHeader()));
			case UNKNOWN -> new EntryState.Unknown();
			default -> throw new IOException("state " + code + " is not known");
		};
	}

	private record Owner(String node, long incarnation) {

		static Owner of(Attempt a) {
			return new Owner(a.node(), a.incarnation());
		}

	}

}
