package io.shallotspur.node;

import java.util.ArrayList;
import java.util.List;

import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

import io.shallotspur.ledger.IntentKey;

/**
 * A model request on its way through one cell. Confined to the thread of the cell's loop,
 * but for the text and the index: those belong to the attempt that generates, and are
 * read by the loop after that attempt ended.
 */
final class ModelSession {

	private final ModelCall call;

	private final Sinks.Many<Publisher<AnswerPart>> answers = Sinks.many().unicast().onBackpressureBuffer();

	private final List<ModelAttempt> attempts = new ArrayList<>(1);

	private final StringBuilder text = new StringBuilder();

	private long nextIndex;

	private boolean intentHeld;

	private long prefill;

	private long unsentPrefill;

	private boolean ended;

	ModelSession(ModelCall call) {
		this.call = call;
	}

	ModelCall call() {
		return this.call;
	}

	String id() {
		return this.call.request().id();
	}

	IntentKey intentKey() {
		return new IntentKey(this.call.request().customer(), this.call.key());
	}

	boolean needsIntent() {
		return !this.call.request().repeatable() && !this.intentHeld;
	}

	boolean intentHeld() {
		return this.intentHeld;
	}

	void holdIntent() {
		this.intentHeld = true;
	}

	boolean ended() {
		return this.ended;
	}

	void end() {
		this.ended = true;
	}

	List<ModelAttempt> attempts() {
		return this.attempts;
	}

	/**
	 * Takes the end of a prefill. Its tokens are wasted unless a token of the answer
	 * follows.
	 * @param computed the tokens that were computed
	 */
	void prefilled(int computed) {
		this.prefill += computed;
		this.unsentPrefill += computed;
	}

	long prefill() {
		return this.prefill;
	}

	long unsentPrefill() {
		return this.unsentPrefill;
	}

	String textSoFar() {
		return this.text.toString();
	}

	long nextIndex() {
		return this.nextIndex;
	}

	void append(String token) {
		this.text.append(token);
		this.nextIndex++;
		this.unsentPrefill = 0;
	}

	/**
	 * Returns the answer: those of the attempts, one after the other. The caller's demand
	 * reaches the engine's stream, so that a slow caller holds no memory here.
	 * @return the parts
	 */
	Flux<AnswerPart> parts() {
		return this.answers.asFlux().concatMap((p) -> p, 1);
	}

	void answer(Publisher<AnswerPart> parts) {
		this.answers.tryEmitNext(parts);
	}

	void complete() {
		this.answers.tryEmitComplete();
	}

	void fail(RefusedException ex) {
		this.answers.tryEmitError(ex);
	}

}
