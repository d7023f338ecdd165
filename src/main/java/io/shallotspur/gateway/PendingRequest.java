package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;

/**
 * A request that waits for a reservation in a {@link ReservationQueue}.
 */
interface PendingRequest {

	// Its id in the log.
	String id();

	// Required memory, tokens.
	int requiredTokens();

	// Rank among the requests that wait; 0 is the highest.
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

	// It would get a slot only after it stops waiting, in that many ms.
	void onUnservable(long expectedWaitMs, long now);

	// Logs a message.
	void log(String message, long now);

}
