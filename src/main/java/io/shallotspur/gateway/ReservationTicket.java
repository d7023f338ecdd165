package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

/**
 * The entry of a request in a {@link ReservationQueue}, and the order in which the queue
 * serves its entries. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: a ticket that is closed or late stays so.
 */
final class ReservationTicket {

	/**
	 * Requests that can still be answered on time come first; then by priority, latest
	 * start and arrival.
	 */
	static final Comparator<ReservationTicket> ORDER = Comparator.comparing(ReservationTicket::isLate)
		.thenComparingInt((t) -> t.request.priority())
		.thenComparingLong((t) -> t.request.latestStart())
		.thenComparingLong((t) -> t.sequence);

	// Requests that have waited for this fraction of their available time show that slots
	// free up more slowly than requests arrive.
	private static final double LONG_WAIT_FRACTION = 0.5;

	private final PendingRequest request;

	private final long sequence;

	private final long enqueuedAt;

	private boolean late;

	private boolean closed;

	/**
	 * Creates a ticket.
	 * @param request the request
	 * @param sequence its position in the order of arrival
	 * @param enqueuedAt the present time in milliseconds
	 */
	ReservationTicket(PendingRequest request, long sequence, long enqueuedAt) {
		this.request = request;
		this.sequence = sequence;
		this.enqueuedAt = enqueuedAt;
	}

	/**
	 * Returns the tickets in the order in which they are served: while slots free up more
	 * slowly than requests of the same rank arrive, the newest of them first.
	 * @param tickets the tickets, in their {@link #ORDER}
	 * @param now the present time in milliseconds
	 * @return a copy in that order
	 */
	static List<ReservationTicket> serviceOrder(Collection<ReservationTicket> tickets, long now) {
		List<ReservationTicket> ordered = new ArrayList<>(tickets);
		int from = 0;
		while (from < ordered.size()) {
			int to = from + 1;
			while (to < ordered.size() && ordered.get(to).hasSameRank(ordered.get(from))) {
				to++;
			}
			if (ordered.get(from).late || ordered.get(from).hasWaitedLong(now)) {
				Collections.reverse(ordered.subList(from, to));
			}
			from = to;
		}
		return ordered;
	}

	PendingRequest request() {
		return this.request;
	}

	boolean isLate() {
		return this.late;
	}

	void markLate() {
		this.late = true;
	}

	// The request has a reservation, was rejected or no longer wants one.
	boolean isClosed() {
		return this.closed;
	}

	void close() {
		this.closed = true;
	}

	private boolean hasSameRank(ReservationTicket other) {
		return this.late == other.late && this.request.priority() == other.request.priority();
	}

	private boolean hasWaitedLong(long now) {
		return now - this.enqueuedAt > LONG_WAIT_FRACTION * (this.request.latestStart() - this.enqueuedAt);
	}

}
