package io.shallotspur.gateway;

import io.shallotspur.queueing.WaitingRequest;

/**
 * The entry of a request in a {@link ReservationQueue} or {@link PlainCallQueue}. Its
 * priority is the {@link PendingRequest#rank() rank} of the request. Not thread-safe;
 * confined to the gateway's thread.
 * <p>
 * Invariant: a ticket that is closed or late stays so.
 */
final class ReservationTicket implements WaitingRequest {

	private final PendingRequest request;

	private final long sequence;

	private final long enqueuedAt;

	private String yieldedTo = "";

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

	PendingRequest request() {
		return this.request;
	}

	@Override
	public int priority() {
		return this.request.rank();
	}

	@Override
	public long latestStart() {
		return this.request.latestStart();
	}

	@Override
	public long waitDeadline() {
		return this.request.waitDeadline();
	}

	@Override
	public long enqueuedAt() {
		return this.enqueuedAt;
	}

	@Override
	public long sequence() {
		return this.sequence;
	}

	@Override
	public boolean isLate() {
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

	/**
	 * Records to which request this one has yielded last.
	 * @param yieldedTo the request or group of requests that went before it
	 */
	void yieldTo(String yieldedTo) {
		this.yieldedTo = yieldedTo;
	}

	// Empty if the request has not yielded.
	String yieldedTo() {
		return this.yieldedTo;
	}

}
