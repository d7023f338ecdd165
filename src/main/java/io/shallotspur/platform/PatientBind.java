package io.shallotspur.platform;

import java.time.Duration;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.util.retry.Retry;

/**
 * Opens a listening socket whose address may still be taken for a moment. Stateless.
 * <p>
 * A process that starts again where another one has just been killed can meet that one's
 * socket, or a connection that was given the port for its own end meanwhile. Ended at
 * once with an error, the VM would be missing until someone starts it again.
 */
final class PatientBind {

	private static final Duration PAUSE = Duration.ofMillis(200);

	// Five seconds: longer than a killed process takes to be gone, and as long as a short
	// connection takes to free its port. A port that is taken for good is an error.
	private static final long MOST_TRIES = 25;

	private PatientBind() {
	}

	static Mono<? extends DisposableServer> of(Mono<? extends DisposableServer> bind, Scheduler scheduler) {
		return bind.retryWhen(Retry.fixedDelay(MOST_TRIES, PAUSE)
			.scheduler(scheduler)
			.filter((ex) -> ex instanceof ChannelBindException)
			.doBeforeRetry((s) -> Logger.warn("[run] address taken seen=\"{}\"", s.failure().getMessage())));
	}

}
