package io.shallotspur.adapter.vmlist;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import io.shallotspur.adapter.http.LimitedBody;
import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.VmEntry;
import io.shallotspur.port.VmList;

/**
 * The VM list over the project's own HTTP/JSON. Thread-safe. Each call has a connection
 * of its own, so that its answer is not that to another.
 */
public final class HttpVmList implements VmList {

	// An entry has a few hundred bytes.
	static final int MAX_ANSWER_BYTES = 4 << 20;

	private final HttpClient client;

	private final AtomicInteger malformedEntries = new AtomicInteger();

	/**
	 * Creates a client.
	 * @param baseUrl where the list is, without a trailing slash
	 * @param timeoutMs how long to wait for an answer, in milliseconds
	 */
	public HttpVmList(String baseUrl, long timeoutMs) {
		this.client = WholeResponses.ensure(HttpClient.newConnection())
			.baseUrl(baseUrl)
			.disableRetry(true)
			.responseTimeout(Duration.ofMillis(timeoutMs));
	}

	@Override
	public Mono<List<VmEntry>> list() {
		return this.client.get()
			.uri("/v1/vms")
			.response((r, body) -> (r.status().code() == HttpResponseStatus.OK.code())
					? LimitedBody.readSteady(body, MAX_ANSWER_BYTES)
					: Mono.error(new StoreUnavailableException("the VM list answered " + r.status().code(), null)))
			.singleOrEmpty()
			.filter((b) -> b.length > 0)
			.switchIfEmpty(Mono.error(() -> new StoreUnavailableException("the VM list has no body", null)))
			.<List<VmEntry>>handle((b, sink) -> {
				try {
					sink.next(parse(b));
				}
				catch (IOException ex) {
					sink.error(new StoreUnavailableException("the VM list is malformed", null, ex));
				}
			})
			.onErrorMap((ex) -> !(ex instanceof StoreUnavailableException),
					(ex) -> new StoreUnavailableException("the VM list cannot be reached: " + ex.getMessage(), null,
							ex));
	}

	private List<VmEntry> parse(byte[] body) throws IOException {
		VmListParser.Result r = VmListParser.parse(body);
		if (this.malformedEntries.getAndSet(r.malformed()) != r.malformed()) {
			Logger.warn("[member] Left out {} malformed entries of the VM list.", r.malformed());
		}
		return r.entries();
	}

}
