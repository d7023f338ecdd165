package io.shallotspur.platform;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import io.netty.handler.codec.http.HttpHeaders;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.registry.ChangeDeadlines;

/**
 * The whole path on the platform over real sockets: store, workers and callers are
 * doubles.
 */
class PlatformPathTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private final FakeStore store = new FakeStore();

	private final WorkerDouble p1 = new WorkerDouble("p1", "");

	private final WorkerDouble p2 = new WorkerDouble("p2", "");

	private final WorkerDouble d1 = new WorkerDouble("d1", "decode");

	private final WorkerDouble f1 = new WorkerDouble("f1", "prefill");

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private PlatformVm vm;

	@BeforeEach
	void start() {
		this.store.put("op/config", config(7));
		this.store.put("servers/p1", this.p1.entry("plain", "ready"));
		this.store.put("servers/p2", this.p2.entry("plain", "ready"));
		this.store.put("servers/d1", this.d1.entry("llm", "ready"));
		this.store.put("servers/f1", this.f1.entry("llm", "ready"));
		this.store.takeSnapshot();
		this.vm = new PlatformVm(settings(this.store.address()));
		this.vm.start();
		await(() -> status(this.vm.readyPort(), "/api/readiness") == 200);
	}

	@AfterEach
	void stop() {
		this.vm.close();
		this.store.stop();
		this.p1.stop();
		this.p2.stop();
		this.d1.stop();
		this.f1.stop();
	}

	private static PlatformSettings settings(Endpoint store) {
		Endpoint any = new Endpoint("127.0.0.1", 0);
		return new PlatformSettings(new GatewaySettings("vm-1", "hall-a", 0.2, 50, 10_000), "region-1", 1, any, any,
				any, any, store, 2_000, 8_000, new ChangeDeadlines(2_000, 2_000),
				new PlatformSettings.OrderSettings(true, 0), new PlatformSettings.LogVolume("info", 10));
	}

	private static String config(long version) {
		return """
				{"version":%d,"new_field":1,"routes":[
				{"name":"s","host":"127.0.0.1","prefix":"/safe/","kind":"safe","timeout_ms":5000,
				"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2},
				{"name":"u","host":"127.0.0.1","prefix":"/unsafe/","kind":"unsafe","timeout_ms":5000,
				"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":1},
				{"name":"m","host":"127.0.0.1","prefix":"/model/","kind":"streaming","timeout_ms":9000,
				"target_latency_ms":900,"priority":1,"service":"llm","max_attempts":1,"session_affinity":true,
				"allow_resume":false,"target_gap_ms":300}],
				"services":[{"name":"plain","health_path":"/health","connection_limit":100},
				{"name":"llm","health_path":"/health","connection_limit":100,
				"engine":{"slots":8,"kv_cache_tokens":40000,"kv_token_bytes":10,"link_mbps":100,"kv_handle_s":0.5,
				"hold_ms":2000}}],
				"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,
				"idle_timeout_ms":15000}}""".formatted(version);
	}

	private static String withCustomer(String config, String key) {
		return config.replaceFirst("\\{",
				"{\"tenants\":[{\"name\":\"acme\",\"api_keys\":[\"" + key
						+ "\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":1000,"
						+ "\"burst_size\":1000}],");
	}

	private HttpRequest.Builder request(String path) {
		return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.vm.callersPort() + path))
			.timeout(LIMIT)
			.header("X-Request-Id", "r1")
			.header("X-Deadline-Ms", "5000");
	}

	private HttpResponse<String> send(HttpRequest r) {
		try {
			// The client cannot name another host; the caller's port does not matter.
			return this.client.send(r, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException | InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private int status(int port, String path) {
		return send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path)).build()).statusCode();
	}

	private static void await(BooleanSupplier done) {
		long end = System.nanoTime() + LIMIT.toNanos();
		while (!done.getAsBoolean() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		Assertions.assertThat(done.getAsBoolean()).isTrue();
	}

	@Test
	void relaysAPlainCall() {
		HttpResponse<String> r = send(request("/safe/x?q=1%2F2").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(200);
		Assertions.assertThat(r.body()).startsWith("fine from p");
		Assertions.assertThat(r.headers().firstValue("X-Server-Stamp")).isPresent();
		WorkerDouble w = this.p1.paths.isEmpty() ? this.p2 : this.p1;
		Assertions.assertThat(w.paths).containsExactly("GET /safe/x?q=1%2F2 ");
		Assertions.assertThat(w.seen.get(0).get("X-Expect-Instance")).isEqualTo((w == this.p1) ? "p1" : "p2");
	}

	// A caller sets fields that only the system may set, and could take another's memory.
	@Test
	void dropsFieldsThatOnlyTheSystemMaySet() {
		send(request("/safe/x").header("X-Hold", "h").header("X-Kv-Source", "s").header("X-Other", "kept").build());
		WorkerDouble w = this.p1.paths.isEmpty() ? this.p2 : this.p1;
		Assertions.assertThat(w.seen.get(0).contains("X-Hold")).isFalse();
		Assertions.assertThat(w.seen.get(0).contains("X-Kv-Source")).isFalse();
		Assertions.assertThat(w.seen.get(0).get("X-Other")).isEqualTo("kept");
	}

	@Test
	void relaysAStreamWithItsPromptPrefilledApart() {
		HttpResponse<String> r = send(request("/model/x").header("X-Token-Count", "3000,100")
			.header("X-Prompt-Prefix", "a:200,b:2800")
			.header("X-Model", "m")
			.POST(HttpRequest.BodyPublishers.ofString("prompt"))
			.build());
		Assertions.assertThat(r.body()).isEqualTo("id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
		Assertions.assertThat(this.f1.paths).containsExactly("POST /model/x prompt");
		Assertions.assertThat(this.d1.seen.get(0).get("X-Kv-Source")).endsWith("/kv1");
		Assertions.assertThat(this.d1.seen.get(0).get("X-Hold")).isEqualTo("h1");
	}

	// A stream breaks off in the middle of an event. The caller's client must see that
	// the answer is not whole.
	@Test
	void aTornStreamDoesNotLookComplete() {
		this.d1.next.add(WorkerDouble::tornStream);
		HttpRequest q = request("/model/x").POST(HttpRequest.BodyPublishers.ofString("p")).build();
		Assertions.assertThatThrownBy(() -> send(q)).hasRootCauseInstanceOf(IOException.class);
	}

	@Test
	void anAnswerThatIsCutIsNotPassedOn() {
		this.p1.next.add(WorkerDouble::cut);
		this.p2.next.add(WorkerDouble::cut);
		HttpResponse<String> r = send(request("/safe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(502);
		Assertions.assertThat(send(request("/safe/x").build()).body()).startsWith("fine");
	}

	@Test
	void aResetAfterTheSendIsNeverCalledNotRun() {
		this.p1.next.add(WorkerDouble::reset);
		this.p2.next.add(WorkerDouble::reset);
		Assertions.assertThat(send(request("/unsafe/x").build()).statusCode()).isEqualTo(502);
		Assertions.assertThat(this.p1.paths.size() + this.p2.paths.size()).isEqualTo(1);
	}

	@Test
	void anAnswerToAnotherRequestIsNotPassedOn() {
		this.p1.next.add(WorkerDouble::foreign);
		this.p2.next.add(WorkerDouble::foreign);
		HttpResponse<String> r = send(request("/unsafe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(502);
		Assertions.assertThat(r.headers().firstValue("X-Server-Stamp")).isEmpty();
	}

	@Test
	void aFullWorkersRefusalIsTruthfullyNotRun() {
		this.p1.next.add(WorkerDouble::full);
		this.p2.next.add(WorkerDouble::full);
		HttpResponse<String> r = send(request("/unsafe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(503);
		Assertions.assertThat(r.headers().firstValue("Retry-After")).isPresent();
	}

	// The caller hangs up while a worker is silent. Unless the worker hears so, it goes
	// on with work that nobody waits for.
	@Test
	void hangsUpOnTheWorkerWhenTheCallerHangsUp() {
		this.p1.next.add(this.p1::silent);
		this.p2.next.add(this.p2::silent);
		CompletableFuture<?> c = this.client.sendAsync(request("/safe/x").build(),
				HttpResponse.BodyHandlers.ofString());
		await(() -> this.p1.paths.size() + this.p2.paths.size() == 1);
		c.cancel(true);
		await(() -> this.p1.cancelled.get() + this.p2.cancelled.get() == 1);
	}

	@Test
	void refusesWhatBreaksTheLimits() {
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
	void tellsCallersWhereToConnect() {
		HttpResponse<String> r = send(HttpRequest
			.newBuilder(URI
				.create("http://127.0.0.1:" + this.vm.locatePort() + "/api/resolution?name=shop.example&zone=hall-a"))
			.build());
		Assertions.assertThat(r.body()).contains("\"addresses\":[\"127.0.0.1:").contains("\"ttl_s\":2.0");
	}

	// Guards against a limit that is read but not kept to: workers that take nothing at
	// all get no second request, and the caller hears so at once.
	@Test
	void keepsToTheLimitsThatWorkersName() {
		this.p1.limit = "0.0";
		this.p2.limit = "0.0";
		send(request("/safe/x").build());
		send(request("/safe/x").build());
		HttpResponse<String> r = send(request("/safe/x").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(503);
		Assertions.assertThat(r.headers().firstValue("Retry-After")).isPresent();
		Assertions.assertThat(this.p1.paths).hasSize(1);
		Assertions.assertThat(this.p2.paths).hasSize(1);
	}

	@Test
	void servesItsMetrics() {
		send(request("/safe/x").build());
		HttpResponse<String> r = send(
				HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.vm.metricsPort() + "/metrics")).build());
		Assertions.assertThat(r.body()).contains("relay_requests_s").contains("relay_answered_s");
	}

	@Test
	void takesAChangeOfTheConfiguration() {
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(404);
	}

	// The worker must learn whose request it is, and must never see the key: it could use
	// it in the customer's name.
	@Test
	void tellsTheWorkerTheCustomerAndNotTheKey() {
		this.store.put("op/config", withCustomer(config(9), "k9m68k"));
		HttpRequest q = request("/safe/x").header("Authorization", "Bearer k9m68k").header("X-Tenant", "bolt").build();
		await(() -> send(request("/safe/x").build()).statusCode() == 401);
		this.p1.seen.clear();
		this.p2.seen.clear();
		Assertions.assertThat(send(q).statusCode()).isEqualTo(200);
		HttpHeaders h = (this.p1.seen.isEmpty() ? this.p2 : this.p1).seen.get(0);
		Assertions.assertThat(h.getAll("X-Tenant")).containsExactly("acme");
		Assertions.assertThat(h.contains("Authorization")).isFalse();
	}

	@Test
	void aKeyThatNoCustomerHasIsDenied() {
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

	// The operator's entry is not what it should be. What was in force must stay so.
	@Test
	void leavesAnUnreadableConfigurationAside() {
		this.store.put("op/config", "{\"version\":\"x\"}");
		this.store.put("servers/p1", this.p1.entry("plain", "draining"));
		await(() -> {
			send(request("/safe/x").build());
			return !this.p2.paths.isEmpty();
		});
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
	}

	@Test
	void goesOnWhileTheStoreIsAwayAndCatchesUp() {
		this.store.setUnavailable(true);
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		this.store.dropHistory();
		this.store.setUnavailable(false);
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
	}

	@Test
	void readsAListingInPages() {
		this.store.pageSize(2);
		this.store.dropHistory();
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
	}

	@Test
	void anAnswerThatIsNotJsonCountsAsNone() {
		this.store.setMalformedResponses(true);
		this.store.put("op/config", config(9).replace("/safe/", "/moved/"));
		Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
		this.store.setMalformedResponses(false);
		await(() -> send(request("/moved/x").build()).statusCode() == 200);
	}

	// The VM is told to leave while a stream runs. It must leave the answers to callers
	// at once and finish what it has begun.
	@Test
	void finishesWhatIsInProgressBeforeItLeaves() {
		await(() -> this.store.hasKeyWithPrefix("vms/"));
		this.p1.next.add(this.p1::silent);
		this.p2.next.add(this.p2::silent);
		CompletableFuture<HttpResponse<String>> c = this.client.sendAsync(request("/safe/x").build(),
				HttpResponse.BodyHandlers.ofString());
		await(() -> this.p1.paths.size() + this.p2.paths.size() == 1);
		Thread t = new Thread(this.vm::drain);
		t.start();
		await(() -> !this.store.hasKeyWithPrefix("vms/"));
		Assertions.assertThat(status(this.vm.readyPort(), "/api/readiness")).isEqualTo(503);
		Assertions.assertThat(c.join().statusCode()).isEqualTo(504);
		Assertions.assertThat(c.join().headers().firstValue("Connection")).hasValue("close");
	}

	// A VM that has left is closed once more by whoever started it. Its event loop has
	// ended by then, and what is handed to it is rejected.
	@Test
	void closingTwiceIsClosingOnce() {
		this.vm.close();
		Assertions.assertThatCode(this.vm::close).doesNotThrowAnyException();
	}

	// A stream keeps a VM that was told to leave alive to the end of its grace, and
	// callers with an old address go on coming. Were the door closed early, they would
	// find nobody and lose the one try they have left; were they let in to the last
	// moment, the process would end under a renewal whose outcome nobody knows.
	@Test
	void answersWhoeverComesUntilItsLastMoment() {
		this.d1.next.add(this.d1::silent);
		HttpRequest q = request("/model/x").setHeader("X-Deadline-Ms", "20000")
			.POST(HttpRequest.BodyPublishers.ofString("p"))
			.build();
		CompletableFuture<HttpResponse<String>> c = this.client.sendAsync(q, HttpResponse.BodyHandlers.ofString());
		await(() -> this.d1.paths.size() == 1);
		Thread t = new Thread(this.vm::drain);
		t.start();
		await(() -> !this.store.hasKeyWithPrefix("vms/"));
		List<Integer> told = new ArrayList<>();
		boolean open = true;
		while (open) {
			Optional<Integer> status = call();
			status.ifPresent(told::add);
			open = status.isPresent();
		}
		Assertions.assertThat(connects(this.vm.callersPort())).isFalse();
		Assertions.assertThat(c.isDone()).isFalse();
		Assertions.assertThat(told).contains(200).containsOnly(200, 503);
		Assertions.assertThat(told.lastIndexOf(200)).isLessThan(told.indexOf(503));
		long ran = told.stream().filter((s) -> s == 200).count();
		Assertions.assertThat(this.p1.paths.size() + this.p2.paths.size()).isEqualTo((int) ran);
	}

	// Empty if the door was closed before the call was read. That nothing ran is counted
	// in the end, and that nobody is let in after it.
	private Optional<Integer> call() {
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

	private static boolean connects(int port) {
		try (Socket s = new Socket("127.0.0.1", port)) {
			return s.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	// The store comes back from a copy that is older than the leaving of a worker. A VM
	// that took the copy for the present would send requests to a worker that exits,
	// would not be found by callers, and would hear of no change until the store's
	// revisions have passed those of before.
	@Test
	void goesOnWhenTheStoreComesBackFromAnOlderCopy() {
		this.store.put("servers/p1", this.p1.entry("plain", "draining"));
		for (int i = 0; i < 20; i++) {
			this.store.put("op/other", "{}");
		}
		await(() -> onlyP2(20));
		this.store.restoreSnapshot();
		Assertions.assertThat(this.store.hasKeyWithPrefix("vms/")).isFalse();
		await(() -> this.store.hasKeyWithPrefix("vms/"));
		Assertions.assertThat(onlyP2(20)).isTrue();
		this.store.put("servers/p1", this.p1.entry("plain", "draining"));
		this.store.put("op/config", config(9).replace("/safe/", "/new/"));
		await(() -> send(request("/new/x").build()).statusCode() == 200);
		Assertions.assertThat(onlyP2(20)).isTrue();
	}

	private boolean onlyP2(int requests) {
		int before = this.p1.paths.size();
		for (int i = 0; i < requests; i++) {
			send(request("/unsafe/x").build());
		}
		return this.p1.paths.size() == before;
	}

}
