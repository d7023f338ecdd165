package io.shallotspur.node.ledger;

import reactor.core.publisher.Mono;

import io.shallotspur.exc.InputException;
import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.ledger.Segment;
import io.shallotspur.ledger.ShardCodec;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreRecord;

/**
 * Writes sealed segments of a shard to their slots. Stateless; confined to the scheduler
 * of the ledger.
 * <p>
 * Invariant: a slot that holds a newer segment is never overwritten.
 */
final class SegmentWriter {

	private final WriterContext ctx;

	SegmentWriter(WriterContext ctx) {
		this.ctx = ctx;
	}

	/**
	 * Stores a segment, unless it is there already.
	 * @param key the key of its slot
	 * @param segment the segment
	 * @return completes with a value when it is there; fails with a store exception
	 */
	Mono<Long> store(String key, Segment segment) {
		this.ctx.meter().read();
		return this.ctx.timed(this.ctx.store().get(key))
			.flatMap((r) -> slotState(r, segment))
			.defaultIfEmpty(new SlotState(true, KvStore.ABSENT))
			.flatMap((slot) -> store(key, segment, slot));
	}

	private static Mono<SlotState> slotState(StoreRecord r, Segment segment) {
		try {
			Segment old = ShardCodec.decodeSegment(r.value());
			return Mono.just(old.ref().equals(segment.ref()) ? SlotState.DONE
					: new SlotState(old.isOlderThan(segment.ref()), r.version()));
		}
		catch (InputException ex) {
			return Mono.error(ex);
		}
	}

	private Mono<Long> store(String key, Segment segment, SlotState slot) {
		if (slot == SlotState.DONE) {
			return Mono.just(0L);
		}
		if (!slot.writable()) {
			// Another node sealed this head while this one was paused. Overwriting its
			// segment would lose the keys it has more.
			return Mono.error(new StoreConflictException("the slot holds a newer segment", key));
		}
		this.ctx.meter().write(0);
		return this.ctx.timed(this.ctx.store().compareAndSwap(key, slot.version(), ShardCodec.encode(segment)));
	}

	private record SlotState(boolean writable, long version) {

		static final SlotState DONE = new SlotState(false, -1);

	}

}
