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
 * {@link EntryState.NotStarted}. The head is replaced only by compare-and-swap, so these
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
		this.headBytes = head.entries().values().stream().mapToInt((entry) -> sizeOf(entry.state())).sum();
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
		LedgerEntry entry = this.head.entries().get(key);
		for (int i = this.head.segments().size() - 1; entry == null && i >= 0; i--) {
			Segment segment = this.sealedSegments.get(this.head.segments().get(i));
			entry = (segment != null) ? segment.entries().get(key) : null;
		}
		return Optional.ofNullable(entry);
	}

	/**
	 * Evaluates an intent against this shard.
	 * @param intent the intent
	 * @param now the current time in milliseconds
	 * @return the result; {@link ClaimResult.Unclaimed} guarantees nothing until the
	 * intent is committed
	 */
	public ClaimResult decide(Intent intent, long now) {
		LedgerEntry entry = find(intent.key()).orElse(null);
		if (entry != null && entry.attempt().equals(intent.attempt())) {
			return (entry.state() instanceof EntryState.InFlight) ? new ClaimResult.Granted()
					: new ClaimResult.AlreadyClaimed(entry);
		}
		if (entry != null && !(entry.state() instanceof EntryState.NotStarted)) {
			return (entry.bodyHash() == intent.bodyHash()) ? new ClaimResult.AlreadyClaimed(entry)
					: new ClaimResult.Denied(RefusalCode.KEY_REUSED);
		}
		return decideUnclaimed(intent, now);
	}

	/**
	 * Applies the results of attempts. The result of an attempt that does not hold the
	 * claim on its key is ignored.
	 * @param results the results
	 * @return this or a new shard
	 */
	public Shard withAttemptResults(Collection<AttemptResult> results) {
		Map<KeyDigest, LedgerEntry> entries = null;
		for (AttemptResult result : results) {
			LedgerEntry entry = (entries != null && entries.containsKey(result.key())) ? entries.get(result.key())
					: find(result.key()).orElse(null);
			if (entry != null && entry.attempt().equals(result.attempt())
					&& entry.state().canTransitionTo(result.state()) && hasRoomFor(result)) {
				entries = (entries != null) ? entries : new HashMap<>(this.head.entries());
				entries.put(result.key(), entry.withState(result.state()));
			}
		}
		return (entries != null) ? withEntries(entries) : this;
	}

	/**
	 * Adds intents whose result was {@link ClaimResult.Unclaimed}. The returned shard is
	 * to be written to the store.
	 * @param intents the intents, at most one per key
	 * @return a new shard
	 */
	public Shard withIntents(Collection<Intent> intents) {
		Map<KeyDigest, LedgerEntry> entries = new HashMap<>(this.head.entries());
		intents.forEach((intent) -> entries.put(intent.key(), intent.toEntry()));
		return withEntries(entries);
	}

	/**
	 * Prepares the shard for a write: adds the batch id and drops segments that are older
	 * than the window.
	 * @param batch the id of the write
	 * @param now the current time in milliseconds
	 * @return a new shard
	 */
	public Shard withBatch(BatchId batch, long now) {
		List<BatchId> batches = new ArrayList<>(this.head.batches());
		batches.add(batch);
		List<BatchId> latest = batches.subList(Math.max(0, batches.size() - ShardHead.MAX_BATCHES), batches.size());
		List<SegmentRef> retained = new ArrayList<>();
		long watermark = this.head.keyTimeWatermark();
		for (SegmentRef ref : this.head.segments()) {
			if (isExpired(ref, now)) {
				// The watermark is stored in the head, so that a node whose clock
				// lags also refuses the dropped keys instead of running them again.
				watermark = Math.max(watermark, ref.maxKeyTime());
			}
			else {
				retained.add(ref);
			}
		}
		ShardHead newHead = new ShardHead(this.head.sequence(), watermark, retained, latest, this.head.entries());
		Map<SegmentRef, Segment> segments = new HashMap<>(this.sealedSegments);
		segments.keySet().retainAll(retained);
		return new Shard(this.limits, this.slots, newHead, segments);
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
		return this.headBytes >= this.limits.sealThresholdBytes() && !isSlotReferenced((ref) -> true);
	}

	/**
	 * Returns the head as a segment.
	 * @param headVersion the store version of the head
	 * @return the segment
	 */
	public Segment toSegment(long headVersion) {
		long max = this.head.entries().values().stream().mapToLong(LedgerEntry::keyTime).max().orElse(KeyTime.NONE);
		boolean untimed = this.head.entries().values().stream().anyMatch((entry) -> entry.keyTime() == KeyTime.NONE);
		SegmentRef ref = new SegmentRef(this.head.sequence(), headVersion, untimed ? KeyTime.NONE : max);
		return new Segment(ref, this.head.entries());
	}

	/**
	 * Returns the shard after its head was sealed, with an empty head.
	 * @param segment the segment returned by {@link #toSegment}, already stored
	 * @return a new shard
	 */
	public Shard withSealedHead(Segment segment) {
		List<SegmentRef> refs = new ArrayList<>(this.head.segments());
		refs.add(segment.ref());
		ShardHead newHead = new ShardHead(this.head.sequence() + 1, this.head.keyTimeWatermark(), refs,
				this.head.batches(), Map.of());
		Map<SegmentRef, Segment> segments = new HashMap<>(this.sealedSegments);
		segments.put(segment.ref(), segment);
		return new Shard(this.limits, this.slots, newHead, segments);
	}

	/**
	 * Returns the store slot of a segment.
	 * @param ref the reference of the segment
	 * @return the slot index, from 0
	 */
	public int slotOf(SegmentRef ref) {
		return (int) (ref.sequence() % this.slots);
	}

	/**
	 * Returns an upper bound on the size that a result adds to the head.
	 * @param result the result
	 * @return the upper bound in bytes
	 */
	public static int sizeOf(AttemptResult result) {
		return sizeOf(result.state());
	}

	private static int sizeOf(EntryState state) {
		byte @Nullable [] a = (state instanceof EntryState.Answered answered) ? answered.answer() : null;
		return MAX_ENTRY_BYTES + ((a != null) ? a.length : 0);
	}

	private boolean hasRoomFor(AttemptResult result) {
		// A shard without an available slot cannot be sealed. Results of sealed entries
		// would make its head grow beyond the value size limit of the store, so those
		// entries keep their state.
		return this.headBytes < MAX_HEAD_BYTES || this.head.entries().containsKey(result.key());
	}

	private ClaimResult decideUnclaimed(Intent intent, long now) {
		long keyTime = intent.keyTime();
		if (keyTime != KeyTime.NONE
				&& (keyTime <= this.head.keyTimeWatermark() || keyTime + this.limits.windowMs() <= now)) {
			return new ClaimResult.Denied(RefusalCode.KEY_EXPIRED);
		}
		if (keyTime != KeyTime.NONE && keyTime > now + this.limits.maxClockSkewMs()) {
			return new ClaimResult.Denied(RefusalCode.MALFORMED_REQUEST);
		}
		if (this.headBytes >= this.limits.sealThresholdBytes() && isSlotReferenced((ref) -> !isExpired(ref, now))) {
			return new ClaimResult.Denied(
					(keyTime != KeyTime.NONE) ? RefusalCode.QUEUE_FULL : RefusalCode.KEY_REQUIRED);
		}
		return new ClaimResult.Unclaimed();
	}

	private boolean isSlotReferenced(Predicate<SegmentRef> filter) {
		// Overwriting a slot that is still referenced would lose its keys, and their
		// requests would be run again.
		long first = this.head.sequence() - this.slots;
		return this.head.segments().stream().filter(filter).anyMatch((ref) -> ref.sequence() <= first);
	}

	private boolean isExpired(SegmentRef ref, long now) {
		return ref.maxKeyTime() != KeyTime.NONE && ref.maxKeyTime() + this.limits.windowMs() <= now;
	}

	private Shard withEntries(Map<KeyDigest, LedgerEntry> entries) {
		ShardHead newHead = new ShardHead(this.head.sequence(), this.head.keyTimeWatermark(), this.head.segments(),
				this.head.batches(), entries);
		return new Shard(this.limits, this.slots, newHead, this.sealedSegments);
	}

}
