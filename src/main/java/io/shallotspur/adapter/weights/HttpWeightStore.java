package io.shallotspur.adapter.weights;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringEncoder;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

import io.shallotspur.adapter.http.LimitedBody;
import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.WeightStore;

/**
 * The weight store over HTTP: the answer's body is the address to load from, and 429
 * means that the rate is used up. Thread-safe. Each call has a connection of its own, so
 * that its answer is not that to another.
 */
public final class HttpWeightStore implements WeightStore {

	private static final int MAX_ADDRESS_BYTES = 64 << 10;

	private final HttpClient client;

	/**
	 * Creates a client.
	 * @param baseUrl where the weight store is, without a trailing slash
	 * @param timeoutMs how long to wait for an answer, in milliseconds
	 */
	public HttpWeightStore(String baseUrl, long timeoutMs) {
		this.client = WholeResponses.ensure(HttpClient.newConnection())
			.baseUrl(baseUrl)
			.disableRetry(true)
			.responseTimeout(Duration.ofMillis(timeoutMs));
	}

	@Override
	public Mono<String> locate(String model, String version) {
		QueryStringEncoder q = new QueryStringEncoder("/v1/weights");
		q.addParam("model", model);
		q.addParam("version", version);
		return this.client.get()
			.uri(q.toString())
			.response((r, body) -> (r.status().code() == HttpResponseStatus.OK.code()) ? address(model, r, body)
					: Mono.error(refused(model, r.status().code())))
			.singleOrEmpty()
			.onErrorMap((ex) -> !(ex instanceof StoreUnavailableException),
					(ex) -> new StoreUnavailableException("the weight store cannot be reached", model, ex));
	}

	// A part of an address looks like another one.
	private static Mono<String> address(String model, HttpClientResponse r, ByteBufFlux body) {
		if (WholeResponses.endsWithConnection(r.status().code(), r.responseHeaders())) {
			return Mono.error(new StoreUnavailableException("the weight store's answer has no length", model));
		}
		return LimitedBody.read(body, MAX_ADDRESS_BYTES)
			.filter((b) -> b.length > 0)
			.map((b) -> new String(b, StandardCharsets.UTF_8));
	}

	private static StoreUnavailableException refused(String model, int status) {
		boolean rate = status == HttpResponseStatus.TOO_MANY_REQUESTS.code();
		return new StoreUnavailableException(
				rate ? "the weight store's rate is used up" : "the weight store answered " + status, model);
	}

}
