package io.shallotspur.boot;

import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import io.shallotspur.node.NodePart;

/**
 * Makes parts of an entry VM from what starts and ends them. Stateless.
 */
final class PartOf {

	private PartOf() {
	}

	static NodePart startAndStop(Mono<?> start, Runnable stop) {
		return new NodePart() {

			@Override
			public Mono<Void> start() {
				return start.then();
			}

			@Override
			public Mono<Void> close() {
				// Servers wait for their sockets when they stop, which no event thread
				// may do.
				return Mono.<Void>fromRunnable(stop).subscribeOn(Schedulers.boundedElastic());
			}

		};
	}

	static NodePart closing(Mono<Void> close) {
		return new NodePart() {

			@Override
			public Mono<Void> start() {
				return Mono.empty();
			}

			@Override
			public Mono<Void> close() {
				return close;
			}

		};
	}

}
