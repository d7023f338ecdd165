package io.shallotspur.platform;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.handler.codec.http.HttpHeaders;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * End-to-end tests of an entry VM over real sockets, with a fake store, fake workers and
 * an HTTP client as caller.
 */
class PlatformEndToEndTests extends EndToEndFixture {

	@Test
	void relaysPlainRequest() {
		HttpResponse<String> r = send(request("/safe/x?q=1%2F2").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(200);
		Assertions.assertThat(r.body()).startsWith("fine from p");
		Assertions.assertThat(r.headers().firstValue("X-Server-Stamp")).isPresent();
		FakeWorker w = this.p1.receivedRequests.isEmpty() ? this.p2 : this.p1;
		Assertions.assertThat(w.receivedRequests).containsExactly("GET /safe/x?q=1%2F2 ");
		Assertions.assertThat(w.receivedHeaders.get(0).get("X-Expect-Instance"))
			.isEqualTo((w == this.p1) ? "p1" : "p2");
	}

	// A caller sets headers that only the system may set. With them it could use another
	// request's KV cache.
	@Test
	void dropsHeadersReservedForTheSystem() {
		send(request("/safe/x").header("X-Hold", "h").header("X-Kv-Source", "s").header("X-Other", "kept").build());
		FakeWorker w = this.p1.receivedRequests.isEmpty() ? this.p2 : this.p1;
		Assertions.assertThat(w.receivedHeaders.get(0).contains("X-Hold")).isFalse();
		Assertions.assertThat(w.receivedHeaders.get(0).contains("X-Kv-Source")).isFalse();
		Assertions.assertThat(w.receivedHeaders.get(0).get("X-Other")).isEqualTo("kept");
	}

	@Test
	void relaysStreamWithSeparatePrefill() {
		HttpResponse<String> r = send(request("/model/x").header("X-Token-Count", "3000,100")
			.header("X-Prompt-Prefix", "a:200,b:2800")
			.header("X-Model", "m")
			.POST(HttpRequest.BodyPublishers.ofString("prompt"))
			.build());
		Assertions.assertThat(r.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
		Assertions.assertThat(this.f1.receivedRequests).containsExactly("POST /model/x prompt");
		Assertions.assertThat(this.d1.receivedHeaders.get(0).get("X-Kv-Source")).endsWith("/kv1");
		Assertions.assertThat(this.d1.receivedHeaders.get(0).get("X-Hold")).isEqualTo("h1");
	}

	// A stream ends in the middle of an event. The caller's client must be able to detect
	// that the response is incomplete.
	@Test
	void truncatedStreamDoesNotLookComplete() {
		this.d1.nextBehaviours.add(FakeWorker::truncatedStream);
		HttpRequest q = request("/model/x").POST(HttpRequest.BodyPublishers.ofString("p")).build();
		Assertions.assertThatThrownBy(() -> send(q)).hasRootCauseInstanceOf(IOException.class);
	}

	@Test
	void truncatedResponseIsNotRelayed() {
		this.p1.nextBehaviours.add(FakeWorker::truncatedBody);
		this.p2.nextBehaviours.add(FakeWorker::truncatedBody);
		HttpResponse<String> r = send(request("/safe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(502);
		Assertions.assertThat(send(request("/safe/x").build()).body()).startsWith("fine");
	}

	@Test
	void resetAfterSendIsNotReportedAsNotExecuted() {
		this.p1.nextBehaviours.add(FakeWorker::closeWithoutResponse);
		this.p2.nextBehaviours.add(FakeWorker::closeWithoutResponse);
		Assertions.assertThat(send(request("/unsafe/x").build()).statusCode()).isEqualTo(502);
		Assertions.assertThat(this.p1.receivedRequests.size() + this.p2.receivedRequests.size()).isEqualTo(1);
	}

	@Test
	void responseToOtherRequestIsNotRelayed() {
		this.p1.nextBehaviours.add(FakeWorker::responseToOtherRequest);
		this.p2.nextBehaviours.add(FakeWorker::responseToOtherRequest);
		HttpResponse<String> r = send(request("/unsafe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(502);
		Assertions.assertThat(r.headers().firstValue("X-Server-Stamp")).isEmpty();
	}

	@Test
	void refusalByFullWorkersIsRelayedAsUnavailable() {
		this.p1.nextBehaviours.add(FakeWorker::refuseAsFull);
		this.p2.nextBehaviours.add(FakeWorker::refuseAsFull);
		HttpResponse<String> r = send(request("/unsafe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(503);
		Assertions.assertThat(r.headers().firstValue("Retry-After")).isPresent();
	}

	// The caller disconnects while waiting for a worker. Unless the worker's connection
	// is closed too, it continues work that nobody waits for.
	@Test
	void closesWorkerConnectionWhenCallerDisconnects() {
		this.p1.nextBehaviours.add(this.p1::noResponse);
		this.p2.nextBehaviours.add(this.p2::noResponse);
		CompletableFuture<?> c = this.client.sendAsync(request("/safe/x").build(),
				HttpResponse.BodyHandlers.ofString());
		await(() -> this.p1.receivedRequests.size() + this.p2.receivedRequests.size() == 1);
		c.cancel(true);
		await(() -> this.p1.closedConnections.get() + this.p2.closedConnections.get() == 1);
	}

	@Test
	void refusesRequestsOverTheLimits() {
		String big = "x".repeat(2_000);
		Assertions
			.assertThat(send(request("/safe/x").POST(HttpRequest.BodyPublishers.ofString(big)).build()).statusCode())
			.isEqualTo(413);
		Assertions.assertThat(send(request("/safe/x").header("X-Big", "x".repeat(20_000)).build()).statusCode())
			.isEqualTo(431);
		Assertions.assertThat(send(request("/safe/x").header("X-Token-Count", "many").build()).statusCode())
			.isEqualTo(400);
		Assertions.assertThat(send(request("/nowhere/x").build()).statusCode()).isEqualTo(404);
	}

	@Test
	void returnsEntryVmAddresses() {
		HttpResponse<String> r = send(HttpRequest
			.newBuilder(URI
				.create("http://127.0.0.1:" + this.vm.locatePort() + "/api/resolution?name=shop.example&zone=hall-a"))
			.build());
		Assertions.assertThat(r.body()).contains("\"addresses\":[\"127.0.0.1:").contains("\"ttl_s\":2.0");
	}

	// Guards against a rate limit that is decoded but not enforced: workers with a limit
	// of 0 get no second request, and the caller is refused at once.
	@Test
	void enforcesRateLimitsOfWorkers() {
		this.p1.rateLimit = "0.0";
		this.p2.rateLimit = "0.0";
		send(request("/safe/x").build());
		send(request("/safe/x").build());
		HttpResponse<String> r = send(request("/safe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(503);
		Assertions.assertThat(r.headers().firstValue("Retry-After")).isPresent();
		Assertions.assertThat(this.p1.receivedRequests).hasSize(1);
		Assertions.assertThat(this.p2.receivedRequests).hasSize(1);
	}

	@Test
	void servesMetrics() {
		send(request("/safe/x").build());
		Assertions.assertThat(metrics()).contains("relay_requests_s").contains("relay_answered_s");
	}

	@Test
	void appliesConfigurationChange() {
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(404);
	}

	// The worker must be told the customer of a request but never the API key, with which
	// it could act in the customer's name.
	@Test
	void sendsCustomerButNotKeyToWorker() {
		this.store.put("op/config", withCustomer(config(9), "k9m68k"));
		HttpRequest q = request("/safe/x").header("Authorization", "Bearer k9m68k").header("X-Tenant", "bolt").build();
		await(() -> send(request("/safe/x").build()).statusCode() == 401);
		this.p1.receivedHeaders.clear();
		this.p2.receivedHeaders.clear();
		Assertions.assertThat(send(q).statusCode()).isEqualTo(200);
		HttpHeaders h = (this.p1.receivedHeaders.isEmpty() ? this.p2 : this.p1).receivedHeaders.get(0);
		Assertions.assertThat(h.getAll("X-Tenant")).containsExactly("acme");
		Assertions.assertThat(h.contains("Authorization")).isFalse();
	}

	@Test
	void unknownOrDuplicateKeyIsUnauthorized() {
		this.store.put("op/config", withCustomer(config(9), "k9m68k"));
		await(() -> send(request("/safe/x").build()).statusCode() == 401);
		Assertions.assertThat(send(request("/safe/x").header("Authorization", "Bearer other").build()).statusCode())
			.isEqualTo(401);
		Assertions
			.assertThat(send(request("/safe/x").header("Authorization", "Bearer k9m68k")
				.header("Authorization", "Bearer k9m68k")
				.build()).statusCode())
			.isEqualTo(401);
	}

	// The configuration entry is malformed. The last valid configuration must stay in
	// effect.
	@Test
	void ignoresMalformedConfiguration() {
		this.store.put("op/config", "{\"version\":\"x\"}");
		this.store.put("servers/p1", this.p1.entry("plain", "draining"));
		await(() -> {
			send(request("/safe/x").build());
			return !this.p2.receivedRequests.isEmpty();
		});
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
	}

	@Test
	void servesWhileStoreIsUnavailableAndCatchesUp() {
		this.store.setUnavailable(true);
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		this.store.dropHistory();
		this.store.setUnavailable(false);
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
	}

	@Test
	void readsListingInPages() {
		this.store.setPageSize(2);
		this.store.dropHistory();
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
	}

	@Test
	void nonJsonResponseOfStoreIsAFailure() {
		this.store.setMalformedResponses(true);
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
		this.store.setMalformedResponses(false);
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
	}

	// The VM is drained while a request runs. It must deregister at once and finish the
	// request.
	@Test
	void drainFinishesRequestsInProgress() {
		await(() -> this.store.hasKeyWithPrefix("vms/"));
		this.p1.nextBehaviours.add(this.p1::noResponse);
		this.p2.nextBehaviours.add(this.p2::noResponse);
		CompletableFuture<HttpResponse<String>> c = this.client.sendAsync(request("/safe/x").build(),
				HttpResponse.BodyHandlers.ofString());
		await(() -> this.p1.receivedRequests.size() + this.p2.receivedRequests.size() == 1);
		Thread t = new Thread(() -> this.vm.drain(PlatformVm.nowMs()));
		t.start();
		await(() -> !this.store.hasKeyWithPrefix("vms/"));
		Assertions.assertThat(status(this.vm.readyPort(), "/api/readiness")).isEqualTo(503);
		Assertions.assertThat(c.join().statusCode()).isEqualTo(504);
		Assertions.assertThat(c.join().headers().firstValue("Connection")).hasValue("close");
	}

	// A drained VM is closed again by the code that started it. Its event loop has
	// terminated by then and rejects new tasks.
	@Test
	void closeIsIdempotent() {
		this.vm.close();
		Assertions.assertThatCode(this.vm::close).doesNotThrowAnyException();
	}

	// A stream keeps a draining VM running to the end of its grace period, and callers
	// with a cached address still connect. If the listening socket closed early, they
	// would be refused and lose their only remaining attempt. If requests were accepted
	// until the exit, the process could end during a request whose outcome would then be
	// unknown.
	@Test
	void drainAcceptsRequestsUntilShortlyBeforeExit() {
		this.d1.nextBehaviours.add(this.d1::noResponse);
		HttpRequest q = request("/model/x").setHeader("X-Deadline-Ms", "20000")
			.POST(HttpRequest.BodyPublishers.ofString("p"))
			.build();
		CompletableFuture<HttpResponse<String>> c = this.client.sendAsync(q, HttpResponse.BodyHandlers.ofString());
		await(() -> this.d1.receivedRequests.size() == 1);
		Thread t = new Thread(() -> this.vm.drain(PlatformVm.nowMs()));
		t.start();
		await(() -> !this.store.hasKeyWithPrefix("vms/"));
		List<Integer> statuses = new ArrayList<>();
		boolean open = true;
		while (open) {
			Optional<Integer> status = tryCall();
			status.ifPresent(statuses::add);
			open = status.isPresent();
		}
		Assertions.assertThat(acceptsConnections(this.vm.callersPort())).isFalse();
		Assertions.assertThat(c.isDone()).isFalse();
		Assertions.assertThat(statuses).contains(200).containsOnly(200, 503);
		Assertions.assertThat(statuses.lastIndexOf(200)).isLessThan(statuses.indexOf(503));
		long successes = statuses.stream().filter((s) -> s == 200).count();
		Assertions.assertThat(this.p1.receivedRequests.size() + this.p2.receivedRequests.size())
			.isEqualTo((int) successes);
	}

	// Empty if the listening socket was closed before the request was read. The test
	// checks at the end that no such request ran and that no connection is accepted
	// afterwards.
	private Optional<Integer> tryCall() {
		HttpRequest q = request("/unsafe/x").setHeader("X-Deadline-Ms", "1500")
			.POST(HttpRequest.BodyPublishers.ofString("p"))
			.build();
		try {
			return Optional.of(this.client.send(q, HttpResponse.BodyHandlers.ofString()).statusCode());
		}
		catch (IOException ex) {
			return Optional.empty();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static boolean acceptsConnections(int port) {
		try (Socket s = new Socket("127.0.0.1", port)) {
			return s.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	// The store is restored from a snapshot taken before a worker began to drain. A VM
	// that took the snapshot as current would send requests to a worker that is exiting,
	// would be missing from address lookups, and would see no changes until the store's
	// revisions exceed the earlier ones.
	@Test
	void survivesStoreRestoreFromOlderSnapshot() {
		this.store.put("servers/p1", this.p1.entry("plain", "draining"));
		for (int i = 0; i < 20; i++) {
			this.store.put("op/other", "{}");
		}
		await(() -> allServedByP2(20));
		this.store.restoreSnapshot();
		Assertions.assertThat(this.store.hasKeyWithPrefix("vms/")).isFalse();
		await(() -> this.store.hasKeyWithPrefix("vms/"));
		Assertions.assertThat(allServedByP2(20)).isTrue();
		this.store.put("servers/p1", this.p1.entry("plain", "draining"));
		this.store.put("op/config", config(9).replace("/safe/", "/new/"));
		await(() -> send(request("/new/x").build()).statusCode() == 200);
		Assertions.assertThat(allServedByP2(20)).isTrue();
	}

	private boolean allServedByP2(int requests) {
		int before = this.p1.receivedRequests.size();
		for (int i = 0; i < requests; i++) {
			send(request("/unsafe/x").build());
		}
		return this.p1.receivedRequests.size() == before;
	}

}
