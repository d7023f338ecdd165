package io.shallotspur.platform;

import java.time.Duration;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ChannelBindException;
import reactor.util.retry.Retry;

/**
 * Retries binding a listening socket while its address is still in use. Stateless.
 * <p>
 * A process that restarts right after its predecessor was killed can find the address
 * still held by that process, or the port in use as the local port of another connection.
 * If it exited at once with an error, the VM would be down until somebody restarted it.
 */
final class BindRetry {

	private static final Duration RETRY_DELAY = Duration.ofMillis(200);

	// Five seconds in total: longer than a killed process takes to exit, and about as
	// long as a short connection takes to free its port. A port that is in use for longer
	// is an error.
	private static final long MAX_RETRIES = 25;

	private BindRetry() {
	}

	static <T> Mono<T> withRetry(Mono<T> bind, Scheduler scheduler) {
		return bind.retryWhen(Retry.fixedDelay(MAX_RETRIES, RETRY_DELAY)
			.scheduler(scheduler)
			.filter((ex) -> ex instanceof ChannelBindException)
			.doBeforeRetry((s) -> Logger.warn("[run] address in use, retrying seen=\"{}\"", s.failure().getMessage())));
	}

}
