package io.shallotspur.node;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.port.PlainReply;

/**
 * What a front end hands the callers' requests to. Implementations are thread-safe. Every
 * failure is signalled as a {@link RefusedException}. Cancelling a subscription means
 * that the caller is gone.
 */
public interface RequestHandler {

	/**
	 * Answers which address to use.
	 * @param customer the customer
	 * @param className the class
	 * @return the addresses
	 */
	Mono<Location> locate(String customer, String className);

	/**
	 * Runs a model request.
	 * @param request the request
	 * @return the answer: one {@link AnswerPart.Started}, then the tokens in order
	 */
	Flux<AnswerPart> model(CallerRequest request);

	/**
	 * Gives the rest of an answer that another entry VM began.
	 * @param request what the caller has
	 * @return the answer from there on, {@link AnswerPart.Started} first
	 */
	Flux<AnswerPart> resume(ResumeRequest request);

	/**
	 * Runs a call to a plain service.
	 * @param request the request
	 * @param upstream the upstream it is for
	 * @param method the HTTP method
	 * @param path the path and query behind the upstream's name, with a leading slash
	 * @param contentType the media type of the body, or empty
	 * @return the answer of the service
	 */
	Mono<PlainReply> plain(CallerRequest request, String upstream, String method, String path, String contentType);

}
