package io.shallotspur.platform;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
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

	// Guards against a VM that still draws callers, but serves none of them, because its
	// connections to all workers are refused.
	@Test
	void servesCallersWhileItsConnectionsToWorkersAreRefused() throws Throwable {
		loseAllPaths(LoopbackProxy::refuseConnections);
		Assertions.assertThat(served(this.otherVm, "/unsafe/x")).isEqualTo(REQUESTS);
		Assertions.assertThat(served(this.vm, "/unsafe/x")).isEqualTo(REQUESTS);
		Assertions.assertThat(served(this.vm, "/model/x")).isEqualTo(REQUESTS);
	}

	// Guards against a VM that still draws callers, but serves none of them, because its
	// connections to all workers hang.
	@Test
	void servesCallersWhileItsConnectionsToWorkersHang() throws Throwable {
		loseAllPaths(LoopbackProxy::cut);
		Assertions.assertThat(served(this.otherVm, "/unsafe/x")).isEqualTo(REQUESTS);
		Assertions.assertThat(served(this.vm, "/unsafe/x")).isEqualTo(REQUESTS);
		Assertions.assertThat(served(this.vm, "/model/x")).isEqualTo(REQUESTS);
	}

}
