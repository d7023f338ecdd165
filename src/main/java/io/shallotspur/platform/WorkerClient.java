package io.shallotspur.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

import io.shallotspur.adapter.tunnel.TunnelClient;
import io.shallotspur.adapter.tunnel.TunnelRequest;
import io.shallotspur.cfg.Endpoint;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.PathSelector;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerNotice;
import io.shallotspur.gateway.WorkerNoticeListener;

/**
 * Client of the workers. Confined to the event loop.
 * <p>
 * Invariants: each call names the worker that it is meant for, so that a different worker
 * at the same address rejects it; what a worker states about itself is reported for the
 * responses to all calls, before they are handled; a connection on which the answer to a
 * request came without its id is not used again, as a second copy of that answer could be
 * taken for the answer to another request.
 */
final class WorkerClient {

	private final Map<ConnectionGroup, HttpClient> clients = new EnumMap<>(ConnectionGroup.class);

	private final HttpClient tunnelClient;

	private final UnknownResponseFields unknownFields;

	private PathSelector paths = PathSelector.DIRECT;

	private WorkerNoticeListener noticeListener = (worker, notice) -> {
	};

	/**
	 * Creates a client.
	 * @param clients the HTTP client of the direct calls of each group
	 * @param tunnelClient the HTTP client shared by all calls that go through another VM;
	 * opens a connection for each call
	 * @param unknownFields counts the response fields that are not understood
	 */
	WorkerClient(Function<ConnectionGroup, HttpClient> clients, HttpClient tunnelClient,
			UnknownResponseFields unknownFields) {
		for (ConnectionGroup g : ConnectionGroup.values()) {
			this.clients.put(g, clients.apply(g));
		}
		this.tunnelClient = tunnelClient;
		this.unknownFields = unknownFields;
	}

	void setPathSelector(PathSelector selector) {
		this.paths = selector;
	}

	void setNoticeListener(WorkerNoticeListener listener) {
		this.noticeListener = listener;
	}

	/**
	 * Prepares a call without a body.
	 * @param method the method
	 * @param worker the worker
	 * @param path the path
	 * @param group the calls with which it shares connections
	 * @return the call, sent when its response is subscribed to
	 */
	HttpClient.ResponseReceiver<?> call(HttpMethod method, WorkerInfo worker, String path, ConnectionGroup group) {
		return expecting(worker, group).request(method).uri(uri(worker, path));
	}

	/**
	 * Prepares a call with a JSON body.
	 * @param client the client, as {@link #expecting} or {@link #expectingDirectly}
	 * returns it
	 * @param worker the worker
	 * @param path the path
	 * @param body the body
	 * @return the call, sent when its response is subscribed to
	 */
	static HttpClient.ResponseReceiver<?> post(HttpClient client, WorkerInfo worker, String path, JsonNode body) {
		return post(client, worker, path, body, Mono.empty());
	}

	/**
	 * Prepares a call with a JSON body that may be given up until it is sent.
	 * @param client as above
	 * @param worker as above
	 * @param path as above
	 * @param body as above
	 * @param permission subscribed to once there is a connection; nothing is sent if it
	 * signals an error
	 * @return as above
	 */
	static HttpClient.ResponseReceiver<?> post(HttpClient client, WorkerInfo worker, String path, JsonNode body,
			Mono<Void> permission) {
		byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
		return client.headers((h) -> {
			h.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			h.set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		}).post().uri(uri(worker, path)).send(permission.then(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes))));
	}

	/**
	 * Prepares calls to one worker, directly or through another VM. Not for calls whose
	 * sender matters to the worker: through another VM they come from that VM's machine.
	 * @param worker the worker
	 * @param group the calls with which they share direct connections
	 * @return the client for these calls
	 */
	HttpClient expecting(WorkerInfo worker, ConnectionGroup group) {
		HttpClient path = this.paths.tunnelVm(worker)
			.map((vm) -> TunnelClient.through(this.tunnelClient, tunnelAddress(vm),
					new TunnelRequest(vm.key(), worker.id())))
			.orElse(client(group));
		return prepared(path, worker);
	}

	/**
	 * Prepares calls to one worker that come from the machine of this VM or not at all.
	 * @param worker the worker
	 * @param group the calls with which they share connections
	 * @return the client for these calls
	 */
	HttpClient expectingDirectly(WorkerInfo worker, ConnectionGroup group) {
		return prepared(client(group), worker);
	}

	private HttpClient client(ConnectionGroup g) {
		return Objects.requireNonNull(this.clients.get(g));
	}

	private HttpClient prepared(HttpClient path, WorkerInfo worker) {
		return path.headers((h) -> h.set(PlatformNames.EXPECTED_INSTANCE, worker.id()))
			.doOnResponse((r, c) -> onResponse(worker, r, c));
	}

	private void onResponse(WorkerInfo worker, HttpClientResponse r, Connection connection) {
		ConnectionIdleLimit.record(connection.channel(), r.responseHeaders());
		this.unknownFields.observe(r);
		String requestId = r.requestHeaders().get(PlatformNames.REQUEST_ID);
		if (requestId != null && !requestId.equals(r.responseHeaders().get(PlatformNames.REQUEST_ID))) {
			connection.markPersistent(false);
		}
		WorkerNotice notice = ResponseHeadDecoder.notice(requestId, r.status().code(), r.responseHeaders());
		if (!notice.equals(WorkerNotice.NONE)) {
			this.noticeListener.onNotice(worker, notice);
		}
	}

	/**
	 * Returns the address at which a VM opens tunnels.
	 * @param vm the VM; it must have one
	 * @return the address
	 */
	static InetSocketAddress tunnelAddress(EntryVm vm) {
		Endpoint e = Endpoint.parse(vm.tunnelAddress()).orElseThrow();
		return new InetSocketAddress(e.host(), e.port());
	}

	private static String uri(WorkerInfo worker, String path) {
		return "http://" + worker.address() + path;
	}

}
