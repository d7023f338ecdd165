package io.shallotspur.transit;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;

/**
 * The memory of an entry VM for bytes that their receivers have not read yet. Without a
 * limit, callers that stop reading would fill the VM's memory, and all responses would
 * break off when it fails. Not thread-safe; confined to the event loop.
 * <p>
 * Invariants: the bytes held never exceed the limit once a call has returned, unless only
 * holdings remain that cannot be cut; a holding is cut at most once. The response that is
 * cut is the least urgent; among those the one whose receiver has not read for longest;
 * then the largest.
 */
public final class ByteBudget {

	private static final Runnable UNCUTTABLE = () -> {
	};

	// Bytes are held in up to two copies, and half of the heap is needed otherwise.
	private static final int HEAP_PARTS = 4;

	// Most of a machine's memory is needed for the process itself.
	private static final int MACHINE_PARTS = 8;

	private final long limit;

	private final Set<Holding> holdings = new HashSet<>();

	private long held;

	private long cuts;

	/**
	 * Creates an unused budget.
	 * @param limit the maximum number of bytes held
	 */
	public ByteBudget(long limit) {
		this.limit = limit;
	}

	/**
	 * Returns the limit for a machine.
	 * @param machineBytes the machine's memory; 0 if it is not stated
	 * @param heapBytes the maximum size of the heap
	 * @return bytes
	 */
	public static long limit(long machineBytes, long heapBytes) {
		long ofHeap = heapBytes / HEAP_PARTS;
		return (machineBytes > 0) ? Math.min(ofHeap, machineBytes / MACHINE_PARTS) : ofHeap;
	}

	/**
	 * Opens a holding for a response.
	 * @param cut breaks the response off; called within {@link Holding#add}, and expected
	 * to close the holding
	 * @return the holding
	 */
	public Holding open(Runnable cut) {
		return new Holding(cut);
	}

	/**
	 * Opens a holding that is not cut, such as the body of a request, which is held until
	 * the request ends.
	 * @return the holding
	 */
	public Holding openUncuttable() {
		return new Holding(UNCUTTABLE);
	}

	/**
	 * Returns how many bytes are held.
	 * @return bytes
	 */
	public long held() {
		return this.held;
	}

	/**
	 * Returns how many receivers have bytes held for them.
	 * @return the number of holdings that are not empty
	 */
	public int holders() {
		return this.holdings.size();
	}

	/**
	 * Returns how many responses were cut.
	 * @return the number since the start
	 */
	public long cuts() {
		return this.cuts;
	}

	// Considers only holdings that are not empty, as others would free nothing. Returns
	// whether the limit is kept.
	private boolean cutUntilWithinLimit() {
		while (this.held > this.limit) {
			Holding victim = this.holdings.stream()
				.filter((h) -> h.cut != UNCUTTABLE)
				.max(Comparator.<Holding>comparingInt((h) -> h.rank)
					.thenComparing((h) -> h.progressAt, Comparator.reverseOrder())
					.thenComparingLong((h) -> h.bytes))
				.orElse(null);
			if (victim == null) {
				return false;
			}
			this.cuts++;
			victim.close();
			victim.cut.run();
		}
		return true;
	}

	/**
	 * The bytes held for one receiver. Not thread-safe; confined to the event loop.
	 * <p>
	 * Invariant: a holding that is closed is empty and stays so.
	 */
	public final class Holding {

		private final Runnable cut;

		private int rank;

		private long bytes;

		private long progressAt;

		private boolean closed;

		private Holding(Runnable cut) {
			this.cut = cut;
		}

		/**
		 * Sets how urgent the response is; the most urgent until then.
		 * @param newRank its rank; 0 is the most urgent
		 */
		public void rank(int newRank) {
			this.rank = newRank;
		}

		/**
		 * Adds bytes, and cuts responses, possibly this one, until the limit is kept.
		 * @param n the number of bytes
		 * @param now the present time in milliseconds
		 * @return whether the limit is kept; {@code true}, without any effect, if the
		 * holding is closed
		 */
		public boolean add(long n, long now) {
			if (this.closed) {
				return true;
			}
			if (this.bytes == 0) {
				this.progressAt = now;
				ByteBudget.this.holdings.add(this);
			}
			change(n);
			return cutUntilWithinLimit();
		}

		/**
		 * Releases bytes that the receiver has taken.
		 * @param n the number of bytes
		 * @param now the present time in milliseconds
		 */
		public void release(long n, long now) {
			if (this.closed) {
				return;
			}
			this.progressAt = now;
			change(-Math.min(n, this.bytes));
			if (this.bytes == 0) {
				ByteBudget.this.holdings.remove(this);
			}
		}

		/**
		 * Releases all bytes. Further calls have no effect.
		 */
		public void close() {
			if (!this.closed) {
				change(-this.bytes);
				ByteBudget.this.holdings.remove(this);
				this.closed = true;
			}
		}

		/**
		 * Returns how many bytes are held for the receiver.
		 * @return bytes
		 */
		public long bytes() {
			return this.bytes;
		}

		private void change(long n) {
			this.bytes += n;
			ByteBudget.this.held += n;
		}

	}

}
