package io.shallotspur.node.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.ledger.Attempt;
import io.shallotspur.ledger.AttemptResult;
import io.shallotspur.ledger.BatchId;
import io.shallotspur.ledger.EntryState;
import io.shallotspur.ledger.Intent;
import io.shallotspur.ledger.KeyDigest;
import io.shallotspur.ledger.LedgerLimits;
import io.shallotspur.ledger.Segment;
import io.shallotspur.ledger.Shard;
import io.shallotspur.ledger.ShardCodec;
import io.shallotspur.ledger.ClaimResult;
import io.shallotspur.outcome.RefusalCode;

/**
 * Writes one shard in batches. Any number of nodes may do so at once: the
 * compare-and-swap on the head lets one through.
 * <p>
 * Invariants: an intent is granted only after a head that holds it was surely written; at
 * most one write is under way, and two writes begin at least the batch interval apart. A
 * write whose answer is lost is settled by reading the head again; until then nothing of
 * it is granted. Confined to the scheduler of the ledger.
 */
final class ShardWriter {

	private static final long MIN_RETRY_MS = 50;

	private static final long MAX_RETRY_MS = 500;

	private final WriterContext ctx;

	private final ShardLoader loader;

	private final SegmentWriter segments;

	private final Map<Attempt, Pending> intents = new LinkedHashMap<>();

	private final Deque<PendingEnd> ends = new ArrayDeque<>();

	private final Map<Attempt, Pending> watchers = new LinkedHashMap<>();

	private @Nullable Shard shard;

	private @Nullable Shard lastKnown;

	private @Nullable BatchId uncertain;

	private long version;

	private boolean busy;

	private boolean changed;

	private long nextWriteAt = Long.MIN_VALUE;

	private long retryAt = Long.MIN_VALUE;

	private long retryMs = MIN_RETRY_MS;

	private long loadedAt;

	private long wakeAt = Long.MAX_VALUE;

	ShardWriter(int shard, WriterContext ctx, LedgerLayout layout) {
		this.ctx = ctx;
		this.loader = new ShardLoader(shard, ctx, layout);
		this.segments = new SegmentWriter(ctx);
	}

	void intend(Intent i, long deadlineAt, Consumer<ClaimResult> done) {
		withdraw(i.attempt());
		ClaimResult v = (this.shard != null) ? this.shard.decide(i, this.ctx.now()) : new ClaimResult.Unclaimed();
		if (!(v instanceof ClaimResult.Unclaimed)) {
			done.accept(v);
			return;
		}
		this.intents.put(i.attempt(), new Pending(i, deadlineAt, done));
		pump();
	}

	void end(AttemptResult e, Runnable done) {
		if (e.state() instanceof EntryState.NotStarted) {
			withdraw(e.attempt());
		}
		if (this.ends.size() >= limit()) {
			this.ctx.meter().endDropped();
			this.ends.removeFirst().done().run();
		}
		this.ends.addLast(new PendingEnd(e, done, this.ctx.now()));
		pump();
	}

	/**
	 * Waits until another attempt of the key has ended.
	 * @param i the intent that found the key taken
	 * @param until when to give up, in milliseconds
	 * @param done takes the verdict then; {@link ClaimResult.Unclaimed} if it may try again
	 */
	void watch(Intent i, long until, Consumer<ClaimResult> done) {
		this.watchers.put(i.attempt(), new Pending(i, until, done));
		tellWatchers();
		pump();
	}

	void unload() {
		if (!this.busy && this.intents.isEmpty() && this.ends.isEmpty() && this.watchers.isEmpty()) {
			this.shard = null;
			this.lastKnown = null;
		}
	}

	private int limit() {
		return this.ctx.settings().maxEnds();
	}

	private void withdraw(Attempt a) {
		Pending p = this.intents.remove(a);
		if (p != null) {
			p.done().accept(new ClaimResult.Denied(RefusalCode.STORE_UNAVAILABLE));
		}
	}

	private void pump() {
		if (this.busy) {
			return;
		}
		long now = this.ctx.now();
		dropExpired(now);
		if (this.intents.isEmpty() && this.ends.isEmpty() && this.watchers.isEmpty()) {
			return;
		}
		if (now < this.retryAt) {
			wake(this.retryAt);
			return;
		}
		if (this.shard == null || isStale(now)) {
			load();
			return;
		}
		if (!this.watchers.isEmpty()) {
			wake(this.loadedAt + this.ctx.settings().pollMs());
		}
		if (this.changed || now >= this.nextWriteAt) {
			// What was just written or read is told at once; only the next write waits.
			this.changed = false;
			decideKnown(this.shard, now);
		}
		writeIfNeeded(now);
	}

	private void writeIfNeeded(long now) {
		Shard s = this.shard;
		if (this.busy || s == null || (this.intents.isEmpty() && this.ends.isEmpty())) {
			return;
		}
		long due = dueAt();
		if (now < due) {
			wake(due);
		}
		else if (s.shouldSeal()) {
			seal(s);
		}
		else {
			write(s, now);
		}
	}

	private long dueAt() {
		PendingEnd first = this.ends.peekFirst();
		if (first == null || !this.intents.isEmpty() || !this.watchers.isEmpty()) {
			return this.nextWriteAt;
		}
		// Nobody waits for these ends. Written at once, they would take the turn of the
		// next intent, whose caller waits a whole batch interval then.
		return Math.max(this.nextWriteAt, first.at() + this.ctx.settings().endDelayMs());
	}

	private boolean isStale(long now) {
		// While somebody waits for a key, another writer may record its end, which only a
		// read shows.
		return !this.watchers.isEmpty() && now - this.loadedAt >= this.ctx.settings().pollMs();
	}

	private void dropExpired(long now) {
		List<Pending> late = expired(this.intents, now);
		late.forEach((p) -> p.done().accept(new ClaimResult.Denied(RefusalCode.STORE_UNAVAILABLE)));
		late = expired(this.watchers, now);
		late.forEach((p) -> p.done().accept(verdictNow(p.intent(), now)));
	}

	private ClaimResult verdictNow(Intent i, long now) {
		Shard s = (this.shard != null) ? this.shard : this.lastKnown;
		return (s != null) ? s.decide(i, now) : new ClaimResult.Denied(RefusalCode.STORE_UNAVAILABLE);
	}

	private static List<Pending> expired(Map<Attempt, Pending> from, long now) {
		List<Pending> late = from.values().stream().filter((p) -> p.until() <= now).toList();
		from.values().removeIf((p) -> p.until() <= now);
		return late;
	}

	private void decideKnown(Shard s, long now) {
		Shard base = s.withAttemptResults(this.ends.stream().map(PendingEnd::end).toList());
		if (base == s) {
			List<PendingEnd> done = List.copyOf(this.ends);
			this.ends.clear();
			done.forEach((e) -> e.done().run());
		}
		tell(this.intents, (p) -> base.decide(p.intent(), now), (v) -> !(v instanceof ClaimResult.Unclaimed));
	}

	private void tellWatchers() {
		Shard s = this.shard;
		if (s == null || this.watchers.isEmpty()) {
			return;
		}
		long now = this.ctx.now();
		tell(this.watchers, (p) -> s.decide(p.intent(), now),
				(v) -> !(v instanceof ClaimResult.AlreadyClaimed t) || !(t.entry().state() instanceof EntryState.InFlight));
	}

	// Whoever is told may ask again at once, so all are told after the map has changed.
	private static void tell(Map<Attempt, Pending> from, Function<Pending, ClaimResult> judge, Predicate<ClaimResult> settled) {
		List<Runnable> told = new ArrayList<>();
		from.values().removeIf((p) -> {
			ClaimResult v = judge.apply(p);
			if (!settled.test(v)) {
				return false;
			}
			told.add(() -> p.done().accept(v));
			return true;
		});
		told.forEach(Runnable::run);
	}

	private void write(Shard s, long now) {
		List<PendingEnd> endsNow = selectEnds();
		List<Intent> intentsNow = selectIntents();
		BatchId batch = this.ctx.nextBatch();
		Shard next = s.withAttemptResults(endsNow.stream().map(PendingEnd::end).toList())
			.withIntents(intentsNow)
			.withBatch(batch, now);
		this.busy = true;
		this.uncertain = batch;
		this.nextWriteAt = now + limits().batchIntervalMs();
		this.ctx.meter().write(intentsNow.size());
		this.ctx
			.timed(this.ctx.store().compareAndSwap(this.loader.headKey(), this.version, ShardCodec.encode(next.head())))
			.subscribe((v) -> written(next, v, endsNow), this::failed);
	}

	private List<PendingEnd> selectEnds() {
		List<PendingEnd> l = new ArrayList<>();
		int bytes = 0;
		for (PendingEnd e : this.ends) {
			bytes += Shard.sizeOf(e.end());
			if (l.size() >= limits().maxBatchEntries() || (bytes > limits().maxBatchBytes() && !l.isEmpty())) {
				break;
			}
			l.add(e);
		}
		return l;
	}

	private List<Intent> selectIntents() {
		Set<KeyDigest> keys = new HashSet<>();
		List<Intent> l = new ArrayList<>();
		for (Pending p : this.intents.values()) {
			if (l.size() < limits().maxBatchEntries() && keys.add(p.intent().key())) {
				l.add(p.intent());
			}
		}
		return l;
	}

	private void written(Shard next, long v, List<PendingEnd> done) {
		this.shard = next;
		this.changed = true;
		this.version = v;
		this.uncertain = null;
		this.retryMs = MIN_RETRY_MS;
		this.busy = false;
		Set<PendingEnd> gone = Collections.newSetFromMap(new IdentityHashMap<>());
		gone.addAll(done);
		this.ends.removeIf(gone::contains);
		done.forEach((e) -> e.done().run());
		tellWatchers();
		pump();
	}

	private void failed(Throwable ex) {
		this.busy = false;
		long now = this.ctx.now();
		if (ex instanceof StoreConflictException) {
			// Two writers that met would meet again in step; the jitter parts them.
			this.ctx.meter().conflict();
			forget();
			this.nextWriteAt = now + this.ctx.jitter(Math.max(1, limits().batchIntervalMs()));
		}
		else {
			if (!(ex instanceof StoreUnavailableException)) {
				this.ctx.meter().lostAnswer();
				forget();
			}
			Logger.debug("[ledger] store call failed, next try in {} ms: {}", this.retryMs, ex);
			this.retryAt = now + this.retryMs;
			this.retryMs = Math.min(MAX_RETRY_MS, this.retryMs * 2);
		}
		pump();
	}

	private void forget() {
		this.lastKnown = (this.shard != null) ? this.shard : this.lastKnown;
		this.shard = null;
	}

	private void load() {
		this.busy = true;
		Shard known = (this.shard != null) ? this.shard : this.lastKnown;
		this.loader.load((known != null) ? known.sealedSegments() : Map.of()).subscribe(this::loaded, this::failed);
	}

	private void loaded(ShardLoader.Loaded l) {
		if (this.uncertain != null && l.shard().hasBatch(this.uncertain)) {
			this.ctx.meter().settledAsWritten();
		}
		this.uncertain = null;
		this.shard = l.shard();
		this.changed = true;
		this.version = l.version();
		this.loadedAt = this.ctx.now();
		this.retryMs = MIN_RETRY_MS;
		this.busy = false;
		tellWatchers();
		pump();
	}

	private void seal(Shard s) {
		this.busy = true;
		Segment segment = s.toSegment(this.version);
		String key = this.loader.slotKey(s.slotOf(segment.ref()));
		this.nextWriteAt = this.ctx.now() + limits().batchIntervalMs();
		this.segments.store(key, segment).subscribe((v) -> sealed(s.withSealedHead(segment)), this::failed);
	}

	private void sealed(Shard next) {
		// The head in the store is unchanged; the next write of the head names the
		// segment, or fails if another writer was faster.
		this.shard = next;
		this.busy = false;
		pump();
	}

	private void wake(long at) {
		if (at < this.wakeAt) {
			this.wakeAt = at;
			this.ctx.later(at - this.ctx.now(), () -> {
				if (this.wakeAt == at) {
					this.wakeAt = Long.MAX_VALUE;
				}
				pump();
			});
		}
	}

	private LedgerLimits limits() {
		return this.ctx.settings().limits();
	}

	private record Pending(Intent intent, long until, Consumer<ClaimResult> done) {

	}

	private record PendingEnd(AttemptResult end, Runnable done, long at) {

	}

}
