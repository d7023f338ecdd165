package io.shallotspur.record;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreException;
import io.shallotspur.port.KvStore;

/**
 * Writes what a {@link Recorder} counted into the key-value service, one value for each
 * interval. Thread-safe.
 * <p>
 * Invariants: a part is written under a key that names it for all time, and only if the
 * key is absent, so that a lost answer and a retry leave one record. A part that was ever
 * sent is never changed. What is held while the store is down is bounded: first the
 * minutes of an hour are joined, which loses no count, then the oldest parts are dropped
 * and counted.
 * <p>
 * A VM that dies loses what it has not written: the present minute and the time since the
 * last tick, and in an outage of the store all since the outage began.
 */
public final class RecordWriter {

	/**
	 * The service holds values up to a megabyte; a part that is larger is split.
	 */
	private static final int MAX_VALUE_BYTES = 900_000;

	private final KvStore store;

	private final Recorder recorder;

	private final RecordLimits limits;

	private final List<Pending> pending = new ArrayList<>();

	private long nextSequence;

	private boolean writing;

	private long droppedRequests;

	/**
	 * Creates a writer.
	 * @param store the key-value service
	 * @param recorder counts the requests of this node
	 * @param limits bounds of memory and writes
	 */
	public RecordWriter(KvStore store, Recorder recorder, RecordLimits limits) {
		this.store = store;
		this.recorder = recorder;
		this.limits = limits;
	}

	/**
	 * Writes the intervals that are over, as far as the store takes them. To be called
	 * every few seconds, at another phase on each node.
	 * @param now the present time in milliseconds since the epoch
	 * @return completes when nothing more is tried in this tick; never fails
	 */
	public Mono<Void> tick(long now) {
		return Mono.defer(() -> {
			hold(this.recorder.drain(now));
			return writeAtMost(this.limits.writesPerTick());
		});
	}

	/**
	 * Writes all that was counted, before the node ends.
	 * @return completes when all is written or the store fails; never fails
	 */
	public Mono<Void> close() {
		return Mono.defer(() -> {
			hold(this.recorder.drainAll());
			return writeAtMost(Integer.MAX_VALUE);
		});
	}

	/**
	 * Returns the values that wait to be written.
	 * @return the number of values
	 */
	public synchronized int pending() {
		return this.pending.size();
	}

	/**
	 * Returns the requests whose counts were dropped for want of room.
	 * @return the number of requests
	 */
	public synchronized long droppedRequests() {
		return this.droppedRequests;
	}

	private Mono<Void> writeAtMost(int writes) {
		if (!begin()) {
			return Mono.empty();
		}
		return Mono.defer(this::writeOne)
			.repeat(writes - 1)
			.takeWhile(Boolean::booleanValue)
			.then()
			.onErrorResume(StoreException.class, (ex) -> {
				Logger.warn("[record] The store did not take a record: {}.", ex.getCode());
				return Mono.empty();
			})
			.doFinally((s) -> end());
	}

	private Mono<Boolean> writeOne() {
		Pending p = takeFirst();
		if (p == null) {
			return Mono.just(false);
		}
		// The key is taken already if an earlier try took effect and its answer was lost.
		// Writing again, or under another key, would count its requests twice.
		return this.store.compareAndSwap(p.part.key(), KvStore.ABSENT, p.value())
			.thenReturn(true)
			.onErrorResume(StoreConflictException.class, (ex) -> Mono.just(true))
			.doOnNext((b) -> written(p));
	}

	private synchronized boolean begin() {
		boolean free = !this.writing;
		this.writing = true;
		return free;
	}

	private synchronized void end() {
		this.writing = false;
	}

	private synchronized @Nullable Pending takeFirst() {
		if (this.pending.isEmpty()) {
			return null;
		}
		Pending p = this.pending.get(0);
		if (!p.sent()) {
			number(p);
		}
		return this.pending.get(0);
	}

	private void number(Pending p) {
		RecordPart part = p.part.withSequence(this.nextSequence++);
		byte[] bytes = RecordCodec.encode(part);
		if (bytes.length > MAX_VALUE_BYTES && part.slices().size() > 1) {
			List<Pending> halves = part.split().stream().map(Pending::new).toList();
			this.pending.remove(0);
			this.pending.addAll(0, halves);
			number(halves.get(0));
			return;
		}
		p.part = part;
		p.bytes = bytes;
	}

	private synchronized void written(Pending p) {
		this.pending.remove(p);
	}

	private synchronized void hold(List<RecordPart> parts) {
		parts.forEach((p) -> this.pending.add(new Pending(p)));
		while (heldSlices() > this.limits.maxPendingSlices() && (joinOne() || dropOne())) {
			Logger.debug("[record] Made room among {} pending values.", this.pending.size());
		}
	}

	private int heldSlices() {
		return this.pending.stream().mapToInt((p) -> p.part.slices().size()).sum();
	}

	private boolean joinOne() {
		for (int i = 0; i + 1 < this.pending.size(); i++) {
			Pending a = this.pending.get(i);
			Pending b = this.pending.get(i + 1);
			if (!a.sent() && !b.sent() && hour(a) == hour(b)) {
				this.pending.set(i, new Pending(a.part.joinByHour(b.part)));
				this.pending.remove(i + 1);
				return true;
			}
		}
		return false;
	}

	private boolean dropOne() {
		if (this.pending.isEmpty()) {
			return false;
		}
		Pending p = this.pending.remove(0);
		this.droppedRequests += p.part.requests();
		Logger.warn("[record] Dropped the counts of {} requests for want of room.", p.part.requests());
		return true;
	}

	private static long hour(Pending p) {
		return RecordPart.hourStart(p.part.startedAt());
	}

	private static final class Pending {

		private RecordPart part;

		private byte @Nullable [] bytes;

		Pending(RecordPart part) {
			this.part = part;
		}

		boolean sent() {
			return this.bytes != null;
		}

		byte[] value() {
			byte[] b = this.bytes;
			if (b == null) {
				throw new IllegalStateException("A part is numbered before it is sent");
			}
			return b;
		}

	}

}
