package io.shallotspur.platform;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.function.ThrowingConsumer;

import io.shallotspur.platform.soak.LoopbackProxy;

/**
 * End-to-end tests of an entry VM that loses its network paths to the workers while
 * another one keeps them. Each VM has a store of its own, in which the workers have the
 * addresses at which this VM reaches them.
 */
class LostPathTests extends EndToEndFixture {

	// How long a VM may take to notice that it has lost its paths.
	private static final long REACTION_MS = 3_000;

	private static final int REQUESTS = 20;

	private final FakeStore otherStore = new FakeStore();

	private final List<LoopbackProxy> paths = new ArrayList<>();

	private PlatformVm otherVm;

	@BeforeEach
	void startOtherVm() throws IOException {
		this.otherStore.put("op/config", config(7));
		addPath(this.p1, "plain");
		addPath(this.p2, "plain");
		addPath(this.d1, "llm");
		addPath(this.f1, "llm");
		this.otherVm = new PlatformVm(settings("vm-2", this.otherStore.address()));
		this.otherVm.start();
		await(() -> status(this.otherVm.readyPort(), "/api/readiness") == 200);
		await(() -> this.otherStore.hasKeyWithPrefix("vms/"));
		this.otherStore.copyEntries("vms/", this.store);
	}

	private void addPath(FakeWorker w, String upstream) throws IOException {
		LoopbackProxy path = new LoopbackProxy(w.port());
		this.paths.add(path);
		this.store.put("servers/" + w.id(), w.entry(upstream, "ready", path.port()));
		this.otherStore.put("servers/" + w.id(), w.entry(upstream, "ready"));
	}

	@AfterEach
	void stopOtherVm() {
		this.otherVm.close();
		this.otherStore.stop();
		this.paths.forEach(LoopbackProxy::stop);
	}

	private long served(PlatformVm at, String path) {
		long served = 0;
		for (int i = 0; i < REQUESTS; i++) {
			served += (send(request(at, path).POST(HttpRequest.BodyPublishers.ofString("p")).build())
				.statusCode() == 200) ? 1 : 0;
		}
		return served;
	}

	private void loseAllPaths(ThrowingConsumer<LoopbackProxy> cut) throws Throwable {
		served(this.vm, "/unsafe/x");
		for (LoopbackProxy p : this.paths) {
			cut.accept(p);
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REACTION_MS);
		while (System.nanoTime() < end) {
			send(request("/safe/x").setHeader("X-Deadline-Ms", "900").build());
		}
	}

	private void assertServedLikeAtTheOtherVm() {
		Assertions.assertThat(served(this.otherVm, "/unsafe/x")).isEqualTo(REQUESTS);
		Assertions.assertThat(served(this.vm, "/unsafe/x")).isEqualTo(REQUESTS);
		Assertions.assertThat(served(this.vm, "/model/x")).isEqualTo(REQUESTS);
	}

	// Guards against a VM that still draws callers, but serves none of them, because its
	// connections to all workers are refused.
	@Test
	void servesCallersWhileItsConnectionsToWorkersAreRefused() throws Throwable {
		loseAllPaths(LoopbackProxy::refuseConnections);
		assertServedLikeAtTheOtherVm();
	}

	// Guards against a VM that still draws callers, but serves none of them, because its
	// connections to all workers hang.
	@Test
	void servesCallersWhileItsConnectionsToWorkersHang() throws Throwable {
		loseAllPaths(LoopbackProxy::cut);
		assertServedLikeAtTheOtherVm();
	}

	// Guards against a VM that goes on calling workers through another one, or not at
	// all, when its paths are back.
	@Test
	void callsWorkersDirectlyWhenThePathsAreBack() throws Throwable {
		loseAllPaths(LoopbackProxy::cut);
		for (LoopbackProxy p : this.paths) {
			p.heal();
		}
		await(() -> metrics().contains("path_regained_total 2.0"));
		double through = counter("path_sent_through_vm_total");
		Assertions.assertThat(served(this.vm, "/unsafe/x")).isEqualTo(REQUESTS);
		Assertions.assertThat(counter("path_sent_through_vm_total")).isEqualTo(through);
	}

	private double counter(String name) {
		return metrics().lines()
			.filter((l) -> l.startsWith(name + " "))
			.mapToDouble((l) -> Double.parseDouble(l.substring(name.length() + 1)))
			.findAny()
			.orElse(0);
	}

	// Guards against a worker that goes on with a request whose caller has left, because
	// the connection ends at the VM in between.
	@Test
	void closesTheWorkersConnectionWhenTheCallerLeaves() throws Throwable {
		loseAllPaths(LoopbackProxy::refuseConnections);
		this.p1.nextBehaviours.add(this.p1::noResponse);
		this.p2.nextBehaviours.add(this.p2::noResponse);
		int before = this.p1.receivedRequests.size() + this.p2.receivedRequests.size();
		CompletableFuture<?> c = this.client.sendAsync(request("/safe/x").build(),
				HttpResponse.BodyHandlers.ofString());
		await(() -> this.p1.receivedRequests.size() + this.p2.receivedRequests.size() == before + 1);
		c.cancel(true);
		await(() -> this.p1.closedConnections.get() + this.p2.closedConnections.get() == 1);
	}

	// Guards against a request that is broken off because the VM in between is told to
	// leave.
	@Test
	void theVmInBetweenFinishesItsTunnelsBeforeItEnds() throws Throwable {
		loseAllPaths(LoopbackProxy::refuseConnections);
		this.d1.nextBehaviours.add((s) -> this.d1.slowStream(s, Duration.ofMillis(4_500)));
		CompletableFuture<HttpResponse<String>> c = this.client
			.sendAsync(request("/model/x").setHeader("X-Deadline-Ms", "9000")
				.POST(HttpRequest.BodyPublishers.ofString("p"))
				.build(), HttpResponse.BodyHandlers.ofString());
		await(() -> this.d1.receivedRequests.size() == 1);
		Thread t = new Thread(() -> this.otherVm.drain(PlatformVm.nowMs()));
		t.start();
		Assertions.assertThat(c.join().body()).endsWith("id: 2\ndata: b\n\n");
		t.join();
	}

	// Guards against calls that go on through a VM that has ended without a word.
	@Test
	void refusesAtOnceWhenTheOnlyOtherVmHasEnded() throws Throwable {
		loseAllPaths(LoopbackProxy::refuseConnections);
		this.otherVm.close();
		// Until other VMs may be asked again, the workers' refusals are all that is seen.
		await(() -> {
			Assertions.assertThat(served(this.vm, "/unsafe/x")).isZero();
			return metrics().contains("relay_refused_workers_unreachable");
		});
		HttpResponse<String> r = send(request("/unsafe/x").POST(HttpRequest.BodyPublishers.ofString("p")).build());
		Assertions.assertThat(r.statusCode()).isEqualTo(503);
	}

	// Guards against prompts that are told that the workers are full, while none of them
	// can be reached.
	@Test
	void tellsWhyPromptsAreRefusedWhenTheOnlyOtherVmHasEnded() throws Throwable {
		loseAllPaths(LoopbackProxy::refuseConnections);
		Assertions.assertThat(served(this.vm, "/model/x")).isEqualTo(REQUESTS);
		this.otherVm.close();
		await(() -> prompt().body().equals("workers-unreachable"));
		Assertions.assertThat(prompt().body()).isEqualTo("workers-unreachable");
	}

	private HttpResponse<String> prompt() {
		return send(request("/model/x").header("X-Model", "m")
			.header("X-Token-Count", "100,10")
			.POST(HttpRequest.BodyPublishers.ofString("p"))
			.build());
	}

}
