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
 * One shard of the ledger as a state machine over its head and its sealed segments.
 * Immutable and thread-safe.
 * <p>
 * Invariants: a key is unclaimed only if neither the head nor a segment has an entry for
 * it, or its last attempt was definitely not run, and the key is newer than all dropped
 * keys; the attempt of an entry changes only from the state
 * {@link EntryState.NotStarted}. Only the head is written by compare-and-swap, so these
 * invariants hold for any interleaving of writers.
 */
public final class Shard {

	private static final int MAX_ENTRY_BYTES = 72;

	private static final int MAX_HEAD_BYTES = 512 * 1024;

	private final LedgerLimits limits;

	private final int slots;

	private final ShardHead head;

	private final Map<SegmentRef, Segment> sealedSegments;

	private final int headBytes;

	/**
	 * Creates a shard.
	 * @param limits the limits of the ledger
	 * @param slots the maximum number of sealed segments
	 * @param head the head
	 * @param sealed all segments to which the head refers; others are ignored
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
	 * @param limits the limits of the ledger
	 * @param slots the maximum number of sealed segments
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
	 * Finds the entry of a key.
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
	 * Evaluates an intent against this shard.
	 * @param i the intent
	 * @param now the current time in milliseconds
	 * @return the result; {@link ClaimResult.Unclaimed} guarantees nothing until the
	 * intent is committed
	 */
	public ClaimResult decide(Intent i, long now) {
		LedgerEntry e = find(i.key()).orElse(null);
		if (e != null && e.attempt().equals(i.attempt())) {
			return (e.state() instanceof EntryState.InFlight) ? new ClaimResult.Granted()
					: new ClaimResult.AlreadyClaimed(e);
		}
		if (e != null && !(e.state() instanceof EntryState.NotStarted)) {
			return (e.bodyHash() == i.bodyHash()) ? new ClaimResult.AlreadyClaimed(e)
					: new ClaimResult.Denied(RefusalCode.KEY_REUSED);
		}
		return decideUnclaimed(i, now);
	}

	/**
	 * Applies the results of attempts. The result of an attempt that does not hold the
	 * claim on its key is ignored.
	 * @param results the results
	 * @return this or a new shard
	 */
	public Shard withAttemptResults(Collection<AttemptResult> results) {
		Map<KeyDigest, LedgerEntry> m = null;
		for (AttemptResult result : results) {
			LedgerEntry e = (m != null && m.containsKey(result.key())) ? m.get(result.key())
					: find(result.key()).orElse(null);
			if (e != null && e.attempt().equals(result.attempt()) && e.state().canTransitionTo(result.state())
					&& hasRoomFor(result)) {
				m = (m != null) ? m : new HashMap<>(this.head.entries());
				m.put(result.key(), e.withState(result.state()));
			}
		}
		return (m != null) ? withEntries(m) : this;
	}

	/**
	 * Adds intents whose result was {@link ClaimResult.Unclaimed}. The returned shard is
	 * to be written to the store.
	 * @param intents the intents, at most one per key
	 * @return a new shard
	 */
	public Shard withIntents(Collection<Intent> intents) {
		Map<KeyDigest, LedgerEntry> m = new HashMap<>(this.head.entries());
		intents.forEach((i) -> m.put(i.key(), i.toEntry()));
		return withEntries(m);
	}

	/**
	 * Prepares the shard for a write: adds the batch id and drops segments that are older
	 * than the window.
	 * @param batch the id of the write
	 * @param now the current time in milliseconds
	 * @return a new shard
	 */
	public Shard withBatch(BatchId batch, long now) {
		List<BatchId> b = new ArrayList<>(this.head.batches());
		b.add(batch);
		List<BatchId> latest = b.subList(Math.max(0, b.size() - ShardHead.MAX_BATCHES), b.size());
		List<SegmentRef> retained = new ArrayList<>();
		long watermark = this.head.keyTimeWatermark();
		for (SegmentRef r : this.head.segments()) {
			if (isExpired(r, now)) {
				// The watermark is stored in the head, so that a node whose clock lags
				// also
				// refuses the dropped keys instead of running them again.
				watermark = Math.max(watermark, r.maxKeyTime());
			}
			else {
				retained.add(r);
			}
		}
		ShardHead h = new ShardHead(this.head.sequence(), watermark, retained, latest, this.head.entries());
		Map<SegmentRef, Segment> s = new HashMap<>(this.sealedSegments);
		s.keySet().retainAll(retained);
		return new Shard(this.limits, this.slots, h, s);
	}

	/**
	 * Checks whether a write took effect.
	 * @param batch the id of the write
	 * @return {@code true} if it is among the latest writes
	 */
	public boolean hasBatch(BatchId batch) {
		return this.head.batches().contains(batch);
	}

	/**
	 * Checks whether the head has reached the size at which it must be sealed before the
	 * next write.
	 * @return {@code true} if it must be sealed and a slot is available
	 */
	public boolean shouldSeal() {
		// A slot to which the stored head still refers is not available, even if its
		// segment has expired: a concurrent reader would find a segment other than the
		// referenced one.
		return this.headBytes >= this.limits.sealThresholdBytes() && !isSlotReferenced((r) -> true);
	}

	/**
	 * Returns the head as a segment.
	 * @param epoch the store version of the head
	 * @return the segment
	 */
	public Segment toSegment(long epoch) {
		long max = this.head.entries().values().stream().mapToLong(LedgerEntry::keyTime).max().orElse(KeyTime.NONE);
		boolean untimed = this.head.entries().values().stream().anyMatch((e) -> e.keyTime() == KeyTime.NONE);
		SegmentRef ref = new SegmentRef(this.head.sequence(), epoch, untimed ? KeyTime.NONE : max);
		return new Segment(ref, this.head.entries());
	}

	/**
	 * Returns the shard after its head was sealed, with an empty head.
	 * @param s the segment returned by {@link #toSegment}, already stored
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
	 * Returns the store slot of a segment.
	 * @param r the reference of the segment
	 * @return the slot index, from 0
	 */
	public int slotOf(SegmentRef r) {
		return (int) (r.sequence() % this.slots);
	}

	/**
	 * Returns an upper bound on the size that a result adds to the head.
	 * @param e the result
	 * @return the upper bound in bytes
	 */
	public static int sizeOf(AttemptResult e) {
		return sizeOf(e.state());
	}

	private static int sizeOf(EntryState s) {
		byte @Nullable [] a = (s instanceof EntryState.Answered answered) ? answered.answer() : null;
		return MAX_ENTRY_BYTES + ((a != null) ? a.length : 0);
	}

	private boolean hasRoomFor(AttemptResult result) {
		// A shard without an available slot cannot be sealed. Results of sealed entries
		// would make its head grow beyond the store's value size limit, so those entries
		// keep their state.
		return this.headBytes < MAX_HEAD_BYTES || this.head.entries().containsKey(result.key());
	}

	private ClaimResult decideUnclaimed(Intent i, long now) {
		long t = i.keyTime();
		if (t != KeyTime.NONE && (t <= this.head.keyTimeWatermark() || t + this.limits.windowMs() <= now)) {
			return new ClaimResult.Denied(RefusalCode.KEY_EXPIRED);
		}
		if (t != KeyTime.NONE && t > now + this.limits.maxClockSkewMs()) {
			return new ClaimResult.Denied(RefusalCode.MALFORMED_REQUEST);
		}
		if (this.headBytes >= this.limits.sealThresholdBytes() && isSlotReferenced((r) -> !isExpired(r, now))) {
			return new ClaimResult.Denied((t != KeyTime.NONE) ? RefusalCode.QUEUE_FULL : RefusalCode.KEY_REQUIRED);
		}
		return new ClaimResult.Unclaimed();
	}

	private boolean isSlotReferenced(Predicate<SegmentRef> filter) {
		// Overwriting a slot that is still referenced would lose its keys, and their
		// requests would be run again.
		long first = this.head.sequence() - this.slots;
		return this.head.segments().stream().filter(filter).anyMatch((r) -> r.sequence() <= first);
	}

	private boolean isExpired(SegmentRef r, long now) {
		return r.maxKeyTime() != KeyTime.NONE && r.maxKeyTime() + this.limits.windowMs() <= now;
	}

	private Shard withEntries(Map<KeyDigest, LedgerEntry> m) {
		ShardHead h = new ShardHead(this.head.sequence(), this.head.keyTimeWatermark(), this.head.segments(),
				this.head.batches(), m);
		return new Shard(this.limits, this.slots, h, this.sealedSegments);
	}

}
