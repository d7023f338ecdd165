package io.shallotspur.platform;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import io.shallotspur.gateway.WorkerInfo;

/**
 * Client for control calls to workers: reservations, reports and orders. Each call names
 * the worker that it is meant for, so that a different worker at the same address rejects
 * it. Confined to the event loop.
 */
final class WorkerClient {

	private final HttpClient client;

	/**
	 * Creates a client.
	 * @param client the HTTP client shared by all calls to workers
	 */
	WorkerClient(HttpClient client) {
		this.client = client;
	}

	/**
	 * Prepares a call without a body.
	 * @param method the method
	 * @param worker the worker
	 * @param path the path
	 * @return the call, sent when its response is subscribed to
	 */
	HttpClient.ResponseReceiver<?> call(HttpMethod method, WorkerInfo worker, String path) {
		return expecting(worker).request(method).uri(uri(worker, path));
	}

	/**
	 * Prepares a call with a JSON body.
	 * @param worker the worker
	 * @param path the path
	 * @param body the body
	 * @return the call, sent when its response is subscribed to
	 */
	HttpClient.ResponseReceiver<?> post(WorkerInfo worker, String path, JsonNode body) {
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		return expecting(worker).headers((h) -> {
			h.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			h.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		}).post().uri(uri(worker, path)).send(Mono.just(Unpooled.wrappedBuffer(bytes)));
	}

	private HttpClient expecting(WorkerInfo worker) {
		return this.client.headers((h) -> h.set(PlatformNames.EXPECTED_INSTANCE, worker.id()));
	}

	private static String uri(WorkerInfo worker, String path) {
		return "http://" + worker.address() + path;
	}

}
