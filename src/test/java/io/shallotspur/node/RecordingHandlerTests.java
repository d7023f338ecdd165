package io.shallotspur.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.contract.BearerKey;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.PlainReply;
import io.shallotspur.record.RequestEnd;
import io.shallotspur.record.Verdict;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Each caller's request is counted once, under the verdict that is true of it.
 */
class RecordingHandlerTests {

	private static final ContractSet CONTRACTS = ContractSet
		.of(List.of(new Contract("acme", 1, 1, List.of(BearerKey.hash("secret")),
				List.of(new RequestClass("summary", "llm", 1, 60_000, 60_000, 120_000, true)), false)));

	private final List<RequestEnd> ends = new ArrayList<>();

	private long nanos;

	@Test
	void aWholeAnswerIsMet() {
		model(Flux.just(new AnswerPart.Started(""), token(0), token(1), token(2)), "summary").blockLast();
		assertThat(this.ends).singleElement().satisfies((e) -> {
			assertThat(e.verdict()).isEqualTo(Verdict.MET);
			assertThat(e.customer()).isEqualTo("acme");
			assertThat(e.ttftMicros()).isNotNegative();
			assertThat(e.gapsMicros()).hasSize(2);
		});
	}

	@Test
	void refusalsAndUnknownOutcomesAreToldApart() {
		fail(Refusal.notRun(RefusalCode.QUEUE_FULL, "Full.", 0));
		fail(Refusal.outcomeUnknown(RefusalCode.WORKER_LOST, "Lost."));
		assertThat(this.ends).extracting(RequestEnd::verdict).containsExactly(Verdict.REFUSED, Verdict.UNKNOWN);
	}

	/**
	 * The caller leaves in the middle of its answer; that is held neither for nor against
	 * the terms.
	 */
	@Test
	void aCallerThatLeavesIsCancelled() {
		model(Flux.just(token(0)).concatWith(Flux.never()), "summary").subscribe().dispose();
		assertThat(this.ends).extracting(RequestEnd::verdict).containsExactly(Verdict.CANCELLED);
	}

	@Test
	void aRequestWithoutTermsIsNotCounted() {
		model(Flux.empty(), "nothing").blockLast();
		assertThat(this.ends).isEmpty();
	}

	@Test
	void aPlainCallIsMetWithItsAnswer() {
		handler(Flux.empty()).plain(request("summary"), "llm", "GET", "/", "").block();
		assertThat(this.ends).extracting(RequestEnd::verdict).containsExactly(Verdict.MET);
	}

	@Test
	void aLateFirstTokenMisses() throws Exception {
		RequestWatch w = watch();
		this.nanos = 60_001_000_000L;
		w.token();
		w.complete();
		w.cancel();
		assertThat(this.ends).extracting(RequestEnd::verdict).containsExactly(Verdict.MISSED);
		assertThat(this.ends.get(0).ttftMicros()).isEqualTo(60_001_000);
	}

	@Test
	void gapsOfTheLastTwentiethMayBeLong() throws Exception {
		RequestWatch w = watch();
		for (int i = 0; i <= 40; i++) {
			this.nanos += (i % 20 == 1) ? 20_000_000_000L : 1_000_000;
			w.token();
		}
		w.complete();
		assertThat(this.ends).extracting(RequestEnd::verdict).containsExactly(Verdict.MET);
	}

	private RequestWatch watch() throws Exception {
		Admission a = Admission.of(CONTRACTS, request("summary"), 0);
		return new RequestWatch(a, (e, now) -> this.ends.add(e), () -> 0, () -> this.nanos);
	}

	private void fail(Refusal refusal) {
		model(Flux.error(new RefusedException(refusal)), "summary").onErrorComplete().blockLast();
	}

	private Flux<AnswerPart> model(Flux<AnswerPart> answer, String className) {
		return handler(answer).model(request(className));
	}

	private RequestHandler handler(Flux<AnswerPart> answer) {
		return new RecordingHandler(new FixedHandler(answer), () -> CONTRACTS, (e, now) -> this.ends.add(e), () -> 0);
	}

	private static AnswerPart token(int index) {
		return new AnswerPart.Token(index, "x");
	}

	private static CallerRequest request(String className) {
		return new CallerRequest("secret", className, "", 0, new byte[0]);
	}

	private record FixedHandler(Flux<AnswerPart> answer) implements RequestHandler {

		@Override
		public Mono<Location> locate(String customer, String className) {
			return Mono.empty();
		}

		@Override
		public Flux<AnswerPart> model(CallerRequest request) {
			return this.answer;
		}

		@Override
		public Flux<AnswerPart> resume(ResumeRequest request) {
			return this.answer;
		}

		@Override
		public Mono<PlainReply> plain(CallerRequest request, String upstream, String method, String path,
				String contentType) {
			return Mono.justOrEmpty(Optional.of(new PlainReply(200, "", new byte[0])));
		}

	}

}
