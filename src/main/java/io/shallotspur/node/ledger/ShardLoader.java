package io.shallotspur.node.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.InputException;
import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.ledger.LedgerLimits;
import io.shallotspur.ledger.Segment;
import io.shallotspur.ledger.SegmentRef;
import io.shallotspur.ledger.Shard;
import io.shallotspur.ledger.ShardCodec;
import io.shallotspur.ledger.ShardHead;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreRecord;

/**
 * Reads one shard from the store: its head, and the segments that are not known yet.
 * Stateless.
 */
final class ShardLoader {

	private static final int PARALLEL_READS = 4;

	private final int shard;

	private final WriterContext ctx;

	private final LedgerLayout layout;

	ShardLoader(int shard, WriterContext ctx, LedgerLayout layout) {
		this.shard = shard;
		this.ctx = ctx;
		this.layout = layout;
	}

	String headKey() {
		return "ledger/" + this.shard + "/head";
	}

	String slotKey(int slot) {
		return "ledger/" + this.shard + "/segment/" + slot;
	}

	Mono<Loaded> load(Map<SegmentRef, Segment> known) {
		return this.layout.confirm().flatMap((ok) -> loadHead(known));
	}

	private Mono<Loaded> loadHead(Map<SegmentRef, Segment> known) {
		this.ctx.meter().read();
		return this.ctx.timed(this.ctx.store().get(headKey()))
			.flatMap((r) -> decode(r, known))
			.switchIfEmpty(Mono.fromSupplier(() -> new Loaded(Shard.empty(limits(), slots()), KvStore.ABSENT)));
	}

	private Mono<Loaded> decode(StoreRecord r, Map<SegmentRef, Segment> known) {
		ShardHead head;
		try {
			head = ShardCodec.decodeHead(r.value());
		}
		catch (InputException ex) {
			return Mono.error(ex);
		}
		Map<SegmentRef, Segment> have = new HashMap<>(known);
		have.keySet().retainAll(head.segments());
		List<SegmentRef> missing = head.segments().stream().filter((s) -> !have.containsKey(s)).toList();
		return Flux.fromIterable(missing).flatMap(this::loadSegment, PARALLEL_READS).collectList().map((l) -> {
			l.forEach((s) -> have.put(s.ref(), s));
			return new Loaded(new Shard(limits(), slots(), head, have), r.version());
		});
	}

	private Mono<Segment> loadSegment(SegmentRef ref) {
		this.ctx.meter().read();
		String key = slotKey((int) (ref.sequence() % slots()));
		// Without all its segments a shard would take known keys for free ones, so a
		// segment that is missing or is another one fails the whole load.
		return this.ctx.timed(this.ctx.store().get(key))
			.flatMap((r) -> decodeSegment(r, ref))
			.switchIfEmpty(Mono.error(() -> new StoreConflictException("the segment is not there", key)));
	}

	private static Mono<Segment> decodeSegment(StoreRecord r, SegmentRef ref) {
		try {
			Segment s = ShardCodec.decodeSegment(r.value());
			return s.ref().equals(ref) ? Mono.just(s)
					: Mono.error(new StoreConflictException("the slot holds another segment", r.key()));
		}
		catch (InputException ex) {
			return Mono.error(ex);
		}
	}

	private LedgerLimits limits() {
		return this.ctx.settings().limits();
	}

	private int slots() {
		return limits().slots(this.shard);
	}

	record Loaded(Shard shard, long version) {

	}

}
