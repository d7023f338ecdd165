package io.shallotspur.cli;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.UUID;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import io.shallotspur.exc.PeerException;

/**
 * Client of the operators' HTTP. Immutable and thread-safe; calls block.
 */
final class AdminClient {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int CHANGE_TRIES = 3;

	private static final int GATEWAY_TIMEOUT = 504;

	private static final String CONTRACTS = "/v1/contracts";

	private final String address;

	private final HttpClient client;

	AdminClient(String address, String token) {
		this.address = address;
		this.client = HttpClient.newConnection().baseUrl("http://" + address).headers((h) -> {
			h.set("Authorization", "Bearer " + token);
			h.set("Content-Type", "application/json");
		});
	}

	Reply list() throws PeerException {
		return send(this.client, HttpMethod.GET, CONTRACTS, "");
	}

	Reply get(String customer) throws PeerException {
		return send(this.client, HttpMethod.GET, path(customer), "");
	}

	Reply put(String customer, long revision, String body) throws PeerException {
		return change(expecting(revision), HttpMethod.PUT, path(customer), body);
	}

	Reply delete(String customer, long revision) throws PeerException {
		return change(expecting(revision), HttpMethod.DELETE, path(customer), "");
	}

	private HttpClient expecting(long revision) {
		String changeId = UUID.randomUUID().toString();
		return this.client.headers((h) -> {
			h.set("Change-Id", changeId);
			if (revision > 0) {
				h.set("If-Match", "\"" + revision + "\"");
			}
			else {
				h.set("If-None-Match", "*");
			}
		});
	}

	// An answer from the store that was lost leaves open whether the change was made. The
	// same change id sent again settles it: the change is made once.
	private Reply change(HttpClient c, HttpMethod method, String path, String body) throws PeerException {
		Reply r = send(c, method, path, body);
		for (int i = 1; i < CHANGE_TRIES && r.status() == GATEWAY_TIMEOUT; i++) {
			r = send(c, method, path, body);
		}
		return r;
	}

	private Reply send(HttpClient c, HttpMethod method, String path, String body) throws PeerException {
		try {
			return c.request(method)
				.uri(path)
				.send(Mono.just(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)))
				.responseSingle((r, b) -> b.asString().defaultIfEmpty("").map((s) -> new Reply(r.status().code(), s)))
				.timeout(TIMEOUT)
				.blockOptional()
				.orElseThrow();
		}
		catch (RuntimeException ex) {
			Throwable t = Exceptions.unwrap(ex);
			throw new PeerException("The entry VM cannot be reached: " + t.getMessage(), this.address, t);
		}
	}

	private static String path(String customer) {
		return CONTRACTS + "/" + URLEncoder.encode(customer, StandardCharsets.UTF_8);
	}

	/**
	 * An answer.
	 *
	 * @param status the HTTP status
	 * @param body the body
	 */
	record Reply(int status, String body) {

	}

}
