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
 * Encodes shard heads and segments as MessagePack. Attempts refer to their node by an
 * index into a table that precedes the entries. Stateless and thread-safe.
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
	 * @param head the head
	 * @return its bytes
	 */
	public static byte[] encode(ShardHead head) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(FORMAT).packLong(head.sequence()).packLong(head.keyTimeWatermark());
			packer.packArrayHeader(head.segments().size());
			for (SegmentRef ref : head.segments()) {
				packRef(packer, ref);
			}
			packer.packArrayHeader(head.batches().size());
			for (BatchId batch : head.batches()) {
				packer.packString(batch.node()).packLong(batch.incarnation()).packLong(batch.number());
			}
			packEntries(packer, head.entries());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("packing into a memory buffer failed", ex);
		}
	}

	/**
	 * Encodes a segment.
	 * @param segment the segment
	 * @return its bytes
	 */
	public static byte[] encode(Segment segment) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt(FORMAT);
			packRef(packer, segment.ref());
			packEntries(packer, segment.entries());
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("packing into a memory buffer failed", ex);
		}
	}

	/**
	 * Decodes a head.
	 * @param bytes the bytes returned by {@link #encode(ShardHead)}
	 * @return the head
	 * @throws InputException if the bytes are not a head in this format
	 */
	public static ShardHead decodeHead(byte[] bytes) throws InputException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			checkFormat(unpacker);
			long sequence = unpacker.unpackLong();
			long keyTimeWatermark = unpacker.unpackLong();
			List<SegmentRef> refs = new ArrayList<>();
			for (int n = unpacker.unpackArrayHeader(); n > 0; n--) {
				refs.add(unpackRef(unpacker));
			}
			List<BatchId> batches = new ArrayList<>();
			for (int n = unpacker.unpackArrayHeader(); n > 0; n--) {
				batches.add(new BatchId(unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackLong()));
			}
			return new ShardHead(sequence, keyTimeWatermark, refs, batches, unpackEntries(unpacker));
		}
		catch (IOException | RuntimeException ex) {
			throw new InputException("the record is not a ledger head in a known format", null, ex);
		}
	}

	/**
	 * Decodes a segment.
	 * @param bytes the bytes returned by {@link #encode(Segment)}
	 * @return the segment
	 * @throws InputException if the bytes are not a segment in this format
	 */
	public static Segment decodeSegment(byte[] bytes) throws InputException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			checkFormat(unpacker);
			return new Segment(unpackRef(unpacker), unpackEntries(unpacker));
		}
		catch (IOException | RuntimeException ex) {
			throw new InputException("the record is not a ledger segment in a known format", null, ex);
		}
	}

	private static void checkFormat(MessageUnpacker unpacker) throws IOException {
		int format = unpacker.unpackInt();
		if (format != FORMAT) {
			throw new IOException("unknown ledger format " + format);
		}
	}

	private static void packRef(MessageBufferPacker packer, SegmentRef ref) throws IOException {
		packer.packLong(ref.sequence()).packLong(ref.headVersion()).packLong(ref.maxKeyTime());
	}

	private static SegmentRef unpackRef(MessageUnpacker unpacker) throws IOException {
		return new SegmentRef(unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
	}

	private static void packEntries(MessageBufferPacker packer, Map<KeyDigest, LedgerEntry> entries)
			throws IOException {
		Map<Owner, Integer> owners = new LinkedHashMap<>();
		entries.values().forEach((entry) -> owners.putIfAbsent(Owner.of(entry.attempt()), owners.size()));
		packer.packArrayHeader(owners.size());
		for (Owner owner : owners.keySet()) {
			packer.packString(owner.node()).packLong(owner.incarnation());
		}
		packer.packArrayHeader(entries.size());
		for (LedgerEntry entry : entries.values()) {
			packer.packLong(entry.key().hi())
				.packLong(entry.key().lo())
				.packLong(entry.bodyHash())
				.packLong(entry.keyTime());
			packer.packInt(owners.get(Owner.of(entry.attempt()))).packLong(entry.attempt().sequence());
			packState(packer, entry.state());
		}
	}

	private static Map<KeyDigest, LedgerEntry> unpackEntries(MessageUnpacker unpacker) throws IOException {
		List<Owner> owners = new ArrayList<>();
		for (int n = unpacker.unpackArrayHeader(); n > 0; n--) {
			owners.add(new Owner(unpacker.unpackString(), unpacker.unpackLong()));
		}
		int n = unpacker.unpackArrayHeader();
		Map<KeyDigest, LedgerEntry> entries = new HashMap<>(n * 2);
		for (int i = 0; i < n; i++) {
			KeyDigest key = new KeyDigest(unpacker.unpackLong(), unpacker.unpackLong());
			long body = unpacker.unpackLong();
			long time = unpacker.unpackLong();
			Owner owner = owners.get(unpacker.unpackInt());
			Attempt a = new Attempt(owner.node(), owner.incarnation(), unpacker.unpackLong());
			entries.put(key, new LedgerEntry(key, body, time, a, unpackState(unpacker)));
		}
		return entries;
	}

	private static void packState(MessageBufferPacker packer, EntryState state) throws IOException {
		if (state instanceof EntryState.Answered a && a.answer() != null) {
			packer.packInt(ANSWERED_INLINE).packBinaryHeader(a.answer().length).writePayload(a.answer());
		}
		else if (state instanceof EntryState.Answered) {
			packer.packInt(ANSWERED);
		}
		else if (state instanceof EntryState.InFlight) {
			packer.packInt(IN_FLIGHT);
		}
		else {
			packer.packInt((state instanceof EntryState.Unknown) ? UNKNOWN : NOT_STARTED);
		}
	}

	private static EntryState unpackState(MessageUnpacker unpacker) throws IOException {
		int code = unpacker.unpackInt();
		return switch (code) {
			case NOT_STARTED -> new EntryState.NotStarted();
			case IN_FLIGHT -> new EntryState.InFlight();
			case ANSWERED -> new EntryState.Answered(null);
			case ANSWERED_INLINE -> new EntryState.Answered(unpacker.readPayload(unpacker.unpackBinaryHeader()));
			case UNKNOWN -> new EntryState.Unknown();
			default -> throw new IOException("unknown entry state " + code);
		};
	}

	private record Owner(String node, long incarnation) {

		static Owner of(Attempt a) {
			return new Owner(a.node(), a.incarnation());
		}

	}

}
