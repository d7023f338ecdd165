package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;

/**
 * A request that waits in a {@link ReservationQueue} or {@link PlainCallQueue}.
 */
interface PendingRequest {

	// Its id in the log.
	String id();

	// Required memory, tokens.
	int requiredTokens();

	// Rank among the requests that wait, by the customer's priority and then by the
	// route's, as AdmittedRequest.rank(); 0 is the highest.
	int rank();

	// Latest time at which it can start and still be answered on time, ms.
	long latestStart();

	// Time at which it stops waiting, ms.
	long waitDeadline();

	// Lifetime of its reservation, ms.
	long reservationMs();

	// How long until a worker may be sent it; 0 if one may now, MAX_VALUE if there is
	// none or the time is not known, ms.
	long sendWaitMs(long now);

	// Whether there are workers that may run it, but no network path to any of them.
	boolean hasNoPath(long now);

	// The version of the workers that may run it; empty if any version may.
	Optional<String> requiredVersion();

	// Requests that the workers of the upstream run concurrently, those included that may
	// not run this one.
	int slots(long now);

	// The workers that may run it.
	List<WorkerState> candidates(long now);

	// A slot is reserved.
	void onReserved(WorkerState worker, String reservation, long now);

	// No slot was available in time, or the queue is full.
	void onRejected(long now);

	// Rejected because it would get a slot, in that many ms, only after it stops waiting.
	void onUnservable(long expectedWaitMs, long now);

	// Logs a message.
	void log(String message, long now);

}
