package io.shallotspur.node;

import java.time.Duration;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Tells workers to drop streams. Thread-safe. A cancel that is lost would keep engine
 * memory for a caller who is gone; it shows as streams that no request names. So it is
 * sent again, with growing pauses, until the worker answers or has surely died.
 */
final class StreamCanceller {

	private static final int TRIES = 6;

	private static final Duration BACKOFF = Duration.ofMillis(100);

	private final NodePorts ports;

	StreamCanceller(NodePorts ports) {
		this.ports = ports;
	}

	/**
	 * Begins to tell a worker.
	 * @param worker the worker
	 * @param streamId the stream
	 */
	void cancel(String worker, String streamId) {
		this.ports.worker(worker)
			.flatMap((w) -> this.ports.engine().cancel(w, streamId))
			.retryWhen(Retry.backoff(TRIES, BACKOFF))
			.onErrorResume((ex) -> Mono
				.fromRunnable(() -> Logger.warn("[node] {} could not be told to drop {}.", worker, streamId)))
			.subscribe();
	}

}
