package io.shallotspur.platform;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * End-to-end tests of requests that end each worker that begins to run them, with two
 * entry VMs and workers that are replaced after they have ended.
 */
class CrashingRequestTests extends EndToEndFixture {

	private static final String CRASHING_BODY = "ends its worker";

	// Between the third end of a worker and the first resend that counts.
	private static final Duration REACTION_TIME = Duration.ofSeconds(3);

	private static final int TOLERATED_RESENDS = 3;

	private final List<FakeWorker> workers = new CopyOnWriteArrayList<>();

	private PlatformVm otherVm;

	@BeforeEach
	void startOtherVm() {
		watch(this.p1);
		watch(this.p2);
		this.otherVm = new PlatformVm(settings("vm-2", this.store.address()));
		this.otherVm.start();
		await(() -> status(this.otherVm.readyPort(), "/api/readiness") == 200);
	}

	@AfterEach
	void stopOtherVm() {
		this.otherVm.close();
		this.workers.forEach(FakeWorker::stop);
	}

	private void watch(FakeWorker w) {
		w.crashingBody = CRASHING_BODY;
		w.onCrash = () -> replace(w);
	}

	private void replace(FakeWorker w) {
		FakeWorker next = new FakeWorker(w.id() + "-next", "");
		this.workers.add(next);
		watch(next);
		this.store.remove("servers/" + w.id());
		this.store.put("servers/" + next.id(), next.entry("plain", "ready"));
	}

	private HttpResponse<String> sendBody(PlatformVm vm, String body) {
		return send(request(vm, "/unsafe/x").POST(HttpRequest.BodyPublishers.ofString(body)).build());
	}

	// The caller's resends alternate between the VMs.
	private HttpResponse<String> sendCrashing(int attempt) {
		return sendBody((attempt % 2 == 0) ? this.vm : this.otherVm, CRASHING_BODY);
	}

	private long endedWorkers() {
		return Stream.concat(Stream.of(this.p1, this.p2), this.workers.stream()).filter(FakeWorker::hasCrashed).count();
	}

	// Each send follows when innocent requests are served again. One that meets a worker
	// that is just ending ends none.
	private void endWorkers(int n) {
		for (int i = 0; endedWorkers() < n; i++) {
			Assertions.assertThat(sendCrashing(i).statusCode()).isIn(502, 503);
			awaitInnocentsServed();
		}
	}

	private void awaitInnocentsServed() {
		awaitOnce(this::innocentsServed);
	}

	private boolean innocentsServed() {
		return sendBody(this.vm, "innocent").statusCode() == 200
				&& sendBody(this.otherVm, "innocent").statusCode() == 200;
	}

	// Guards against a request that ends worker after worker, as its caller sends it
	// again to any VM.
	@Test
	void refusesARequestThatHasEndedThreeWorkers() throws InterruptedException {
		endWorkers(3);
		Thread.sleep(REACTION_TIME.toMillis());
		List<HttpResponse<String>> responses = IntStream.range(0, 8).mapToObj((i) -> {
			awaitInnocentsServed();
			return sendCrashing(i);
		}).toList();
		Assertions.assertThat(endedWorkers()).isLessThanOrEqualTo(3 + TOLERATED_RESENDS);
		Assertions.assertThat(responses.subList(TOLERATED_RESENDS, responses.size()))
			.allMatch((r) -> r.statusCode() == 503)
			.allMatch((r) -> r.headers().firstValue("Retry-After").isPresent());
	}

}
