package io.shallotspur.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

import io.shallotspur.outcome.RefusalCode;

/**
 * One shard of the ledger as a state machine: the head and its sealed segments. Immutable
 * and thread-safe.
 * <p>
 * Invariants: a key is free only if no entry of it is in the head or in a segment, or its
 * last attempt was surely not run, and the key is not older than what was dropped; an
 * entry changes its attempt only from {@link EntryState.NotStarted}. The head alone is
 * written by compare-and-swap, so these hold for every order of writers.
 */
public final class Shard {

	private static final int ENTRY_BYTES = 72;

	private static final int MAX_HEAD_BYTES = 512 * 1024;

	private final LedgerLimits limits;

	private final int slots;

	private final ShardHead head;

	private final Map<SegmentRef, Segment> sealedSegments;

	private final int headBytes;

	/**
	 * Creates a shard.
	 * @param limits the bounds of the ledger
	 * @param slots the most sealed segments
	 * @param head the head
	 * @param sealed all segments that the head names; others are ignored
	 */
	public Shard(LedgerLimits limits, int slots, ShardHead head, Map<SegmentRef, Segment> sealed) {
		this.limits = limits;
		this.slots = slots;
		this.head = head;
		this.sealedSegments = Map.copyOf(sealed);
		this.headBytes = head.entries().values().stream().mapToInt((e) -> sizeOf(e.state())).sum();
	}

	/**
	 * Creates a shard that was never written.
	 * @param limits the bounds of the ledger
	 * @param slots the most sealed segments
	 * @return the shard
	 */
	public static Shard empty(LedgerLimits limits, int slots) {
		return new Shard(limits, slots, ShardHead.EMPTY, Map.of());
	}

	/**
	 * Returns the head.
	 * @return the head
	 */
	public ShardHead head() {
		return this.head;
	}

	/**
	 * Returns the sealed segments.
	 * @return an unmodifiable map
	 */
	public Map<SegmentRef, Segment> sealedSegments() {
		return this.sealedSegments;
	}

	/**
	 * Finds what is known of a key.
	 * @param key the digest of the key
	 * @return the latest entry, or empty
	 */
	public Optional<LedgerEntry> find(KeyDigest key) {
		LedgerEntry e = this.head.entries().get(key);
		for (int i = this.head.segments().size() - 1; e == null && i >= 0; i--) {
			Segment s = this.sealedSegments.get(this.head.segments().get(i));
			e = (s != null) ? s.entries().get(key) : null;
		}
		return Optional.ofNullable(e);
	}

	/**
	 * Says what is to be done with an intent.
	 * @param i the intent
	 * @param now the present time in milliseconds
	 * @return the verdict; {@link ClaimResult.Unclaimed} promises nothing until it is committed
	 */
	public ClaimResult decide(Intent i, long now) {
		LedgerEntry e = find(i.key()).orElse(null);
		if (e != null && e.attempt().equals(i.attempt())) {
			return (e.state() instanceof EntryState.InFlight) ? new ClaimResult.Granted() : new ClaimResult.AlreadyClaimed(e);
		}
		if (e != null && !(e.state() instanceof EntryState.NotStarted)) {
			return (e.bodyHash() == i.bodyHash()) ? new ClaimResult.AlreadyClaimed(e) : new ClaimResult.Denied(RefusalCode.KEY_REUSED);
		}
		return decideFree(i, now);
	}

	/**
	 * Applies ends of attempts. An end of an attempt that does not hold its key changes
	 * nothing.
	 * @param ends the ends
	 * @return this or a new shard
	 */
	public Shard withAttemptResults(Collection<AttemptResult> ends) {
		Map<KeyDigest, LedgerEntry> m = null;
		for (AttemptResult end : ends) {
			LedgerEntry e = (m != null && m.containsKey(end.key())) ? m.get(end.key()) : find(end.key()).orElse(null);
			if (e != null && e.attempt().equals(end.attempt()) && e.state().canTransitionTo(end.state()) && hasRoomFor(end)) {
				m = (m != null) ? m : new HashMap<>(this.head.entries());
				m.put(end.key(), e.withState(end.state()));
			}
		}
		return (m != null) ? withEntries(m) : this;
	}

	/**
	 * Applies intents that are {@link ClaimResult.Unclaimed}. The result is what is to be written.
	 * @param intents the intents, one a key
	 * @return a new shard
	 */
	public Shard withIntents(Collection<Intent> intents) {
		Map<KeyDigest, LedgerEntry> m = new HashMap<>(this.head.entries());
		intents.forEach((i) -> m.put(i.key(), i.toEntry()));
		return withEntries(m);
	}

	/**
	 * Makes the shard ready to be written: notes the batch and drops what is older than
	 * the window.
	 * @param batch names the write
	 * @param now the present time in milliseconds
	 * @return a new shard
	 */
	public Shard withBatch(BatchId batch, long now) {
		List<BatchId> b = new ArrayList<>(this.head.batches());
		b.add(batch);
		List<BatchId> late = b.subList(Math.max(0, b.size() - ShardHead.MAX_BATCHES), b.size());
		List<SegmentRef> kept = new ArrayList<>();
		long floor = this.head.keyTimeWatermark();
		for (SegmentRef r : this.head.segments()) {
			if (isDroppable(r, now)) {
				// The floor is in the record, so a node whose clock lags refuses the
				// dropped keys too and does not run them again.
				floor = Math.max(floor, r.maxKeyTime());
			}
			else {
				kept.add(r);
			}
		}
		ShardHead h = new ShardHead(this.head.sequence(), floor, kept, late, this.head.entries());
		Map<SegmentRef, Segment> s = new HashMap<>(this.sealedSegments);
		s.keySet().retainAll(kept);
		return new Shard(this.limits, this.slots, h, s);
	}

	/**
	 * Tells whether a write took effect.
	 * @param batch names the write
	 * @return {@code true} if it is among the latest writes
	 */
	public boolean hasBatch(BatchId batch) {
		return this.head.batches().contains(batch);
	}

	/**
	 * Tells whether the head is so large that it is to be sealed before the next write.
	 * @return {@code true} if it is and there is a slot to seal it to
	 */
	public boolean shouldSeal() {
		// A slot that the stored head still names is not free, even if what is in it is
		// old: a reader in between would find another segment than the one named.
		return this.headBytes >= this.limits.sealThresholdBytes() && !isSlotNamed((r) -> true);
	}

	/**
	 * Returns the head as a segment.
	 * @param epoch the version of the head in the store
	 * @return the segment
	 */
	public Segment toSegment(long epoch) {
		long max = this.head.entries().values().stream().mapToLong(LedgerEntry::keyTime).max().orElse(KeyTime.NONE);
		boolean untimed = this.head.entries().values().stream().anyMatch((e) -> e.keyTime() == KeyTime.NONE);
		SegmentRef ref = new SegmentRef(this.head.sequence(), epoch, untimed ? KeyTime.NONE : max);
		return new Segment(ref, this.head.entries());
	}

	/**
	 * Returns the shard with its head sealed and an empty head.
	 * @param s what {@link #toSegment} returned, stored by now
	 * @return a new shard
	 */
	public Shard withSealedHead(Segment s) {
		List<SegmentRef> refs = new ArrayList<>(this.head.segments());
		refs.add(s.ref());
		ShardHead h = new ShardHead(this.head.sequence() + 1, this.head.keyTimeWatermark(), refs, this.head.batches(),
				Map.of());
		Map<SegmentRef, Segment> m = new HashMap<>(this.sealedSegments);
		m.put(s.ref(), s);
		return new Shard(this.limits, this.slots, h, m);
	}

	/**
	 * Returns the slot of the store that a segment is kept in.
	 * @param r the segment
	 * @return the slot, from 0
	 */
	public int slotOf(SegmentRef r) {
		return (int) (r.sequence() % this.slots);
	}

	/**
	 * Estimates what an end adds to the head, from above.
	 * @param e the end
	 * @return its size in bytes
	 */
	public static int sizeOf(AttemptResult e) {
		return sizeOf(e.state());
	}

	private static int sizeOf(EntryState s) {
		byte @Nullable [] a = (s instanceof EntryState.Answered answered) ? answered.answer() : null;
		return ENTRY_BYTES + ((a != null) ? a.length : 0);
	}

	private boolean hasRoomFor(AttemptResult end) {
		// A shard whose slots are all taken cannot be sealed. Ends of sealed entries
		// would make its head grow beyond what the store holds; those entries stay as
		// they are.
		return this.headBytes < MAX_HEAD_BYTES || this.head.entries().containsKey(end.key());
	}

	private ClaimResult decideFree(Intent i, long now) {
		long t = i.keyTime();
		if (t != KeyTime.NONE && (t <= this.head.keyTimeWatermark() || t + this.limits.windowMs() <= now)) {
			return new ClaimResult.Denied(RefusalCode.KEY_EXPIRED);
		}
		if (t != KeyTime.NONE && t > now + this.limits.maxClockSkewMs()) {
			return new ClaimResult.Denied(RefusalCode.MALFORMED_REQUEST);
		}
		if (this.headBytes >= this.limits.sealThresholdBytes() && isSlotNamed((r) -> !isDroppable(r, now))) {
			return new ClaimResult.Denied((t != KeyTime.NONE) ? RefusalCode.QUEUE_FULL : RefusalCode.KEY_REQUIRED);
		}
		return new ClaimResult.Unclaimed();
	}

	private boolean isSlotNamed(Predicate<SegmentRef> counts) {
		// Overwriting a slot that is still named would forget its keys and run them
		// again.
		long first = this.head.sequence() - this.slots;
		return this.head.segments().stream().filter(counts).anyMatch((r) -> r.sequence() <= first);
	}

	private boolean isDroppable(SegmentRef r, long now) {
		return r.maxKeyTime() != KeyTime.NONE && r.maxKeyTime() + this.limits.windowMs() <= now;
	}

	private Shard withEntries(Map<KeyDigest, LedgerEntry> m) {
		ShardHead h = new ShardHead(this.head.sequence(), this.head.keyTimeWatermark(), this.head.segments(),
				this.head.batches(), m);
		return new Shard(this.limits, this.slots, h, this.sealedSegments);
	}

}
