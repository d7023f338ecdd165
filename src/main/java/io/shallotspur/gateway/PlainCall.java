package io.shallotspur.gateway;

/**
 * A plain call that waits for a worker in a {@link PlainCallQueue}.
 */
interface PlainCall extends PendingRequest {

	// Whether running it twice is harmless.
	boolean repeatable();

	// When its answer must be complete, ms.
	long deadline();

	// It may be sent to a worker now.
	void onWorker(WorkerState worker, long now);

}
