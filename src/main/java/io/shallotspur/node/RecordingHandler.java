package io.shallotspur.node;

import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.port.PlainReply;
import io.shallotspur.record.RequestLog;

/**
 * Tells a {@link RequestLog} how each caller's request ended. It stands where callers
 * come in, so that a forwarded request is counted once. Thread-safe.
 * <p>
 * Requests without terms (no contract, no such class) and the rests of resumed answers
 * are not counted.
 */
final class RecordingHandler implements RequestHandler {

	private final RequestHandler handler;

	private final Supplier<ContractSet> contracts;

	private final RequestLog log;

	private final LongSupplier clock;

	RecordingHandler(RequestHandler handler, Supplier<ContractSet> contracts, RequestLog log, LongSupplier clock) {
		this.handler = handler;
		this.contracts = contracts;
		this.log = log;
		this.clock = clock;
	}

	@Override
	public Mono<Location> locate(String customer, String className) {
		return this.handler.locate(customer, className);
	}

	@Override
	public Flux<AnswerPart> model(CallerRequest request) {
		return Flux.defer(() -> {
			Optional<RequestWatch> w = watch(request);
			Flux<AnswerPart> answer = this.handler.model(request);
			return w.isEmpty() ? answer : answer.doOnNext((p) -> {
				if (p instanceof AnswerPart.Token) {
					w.get().token();
				}
			}).doOnComplete(w.get()::complete).doOnError(w.get()::error).doOnCancel(w.get()::cancel);
		});
	}

	@Override
	public Flux<AnswerPart> resume(ResumeRequest request) {
		return this.handler.resume(request);
	}

	@Override
	public Mono<PlainReply> plain(CallerRequest request, String upstream, String method, String path,
			String contentType) {
		return Mono.defer(() -> {
			Optional<RequestWatch> w = watch(request);
			Mono<PlainReply> answer = this.handler.plain(request, upstream, method, path, contentType);
			return w.isEmpty() ? answer
					: answer.doOnNext((r) -> w.get().token())
						.doOnSuccess((r) -> w.get().complete())
						.doOnError(w.get()::error)
						.doOnCancel(w.get()::cancel);
		});
	}

	private Optional<RequestWatch> watch(CallerRequest request) {
		try {
			long now = this.clock.getAsLong();
			Admission a = Admission.of(this.contracts.get(), request, now);
			return Optional.of(new RequestWatch(a, this.log, this.clock, System::nanoTime));
		}
		catch (RefusedException ex) {
			return Optional.empty();
		}
	}

}
