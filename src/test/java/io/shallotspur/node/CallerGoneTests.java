package io.shallotspur.node;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import io.shallotspur.adapter.caller.CallerSettings;
import io.shallotspur.standin.EngineStandinSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A caller that is gone, or no longer reads, holds nothing at the engines, at whatever
 * stage its request was.
 */
class CallerGoneTests {

	private static final Map<String, String> NONE = Map.of();

	private ServingFixture f = ServingFixture.create();

	@AfterEach
	void stop() {
		ServingFixture.await(this.f::nothingHeld);
		this.f.close();
	}

	/**
	 * A clerk closes the window while the prompt is still being read, or while the
	 * request behind it waits for the prefill worker. The worker turns to the next
	 * request.
	 */
	@Test
	void freesPrefillAndQueuePlace() {
		EntryVm vm = slow(10, 5);
		Disposable reading = this.f.stream(vm, ServingFixture.card("x".repeat(4000), 5, true), NONE).subscribe();
		ServingFixture.await(() -> this.f.state("p1").path("running").asInt() == 1);
		Disposable waiting = this.f.stream(vm, ServingFixture.card("y".repeat(4000), 5, true), NONE).subscribe();
		ServingFixture.await(() -> vm.openRequests() == 2);
		waiting.dispose();
		ServingFixture.await(() -> vm.openRequests() == 1);
		reading.dispose();
		ServingFixture.await(this.f::nothingHeld);
		assertThat(this.f.state("p1").path("prefills").asInt()).isEqualTo(1);
	}

	/**
	 * A guest walks away while the KV cache is on a link that stalls. The slot that it
	 * was meant for is free again.
	 */
	@Test
	void freesKvInTransfer() {
		EntryVm vm = slow(0.01, 5);
		this.f.engines.stall("d1", 60_000).block(ServingFixture.PATIENCE);
		this.f.engines.stall("d2", 60_000).block(ServingFixture.PATIENCE);
		Disposable d = this.f.stream(vm, ServingFixture.card("x", 5, true), NONE).subscribe();
		ServingFixture.await(() -> held("d1") + held("d2") > 0);
		long before = this.f.wasted.get();
		d.dispose();
		ServingFixture.await(this.f::nothingHeld);
		ServingFixture.await(() -> this.f.wasted.get() > before);
	}

	/**
	 * A kiosk loses power in the middle of its answer. Its decode slot is free at once,
	 * not when the answer would have ended.
	 */
	@Test
	void freesDecodeSlot() {
		EntryVm vm = slow(0.01, 20);
		List<String> seen = new CopyOnWriteArrayList<>();
		Disposable d = this.f.stream(vm, ServingFixture.card("x", 100_000, true), NONE).subscribe(seen::add);
		ServingFixture.await(() -> seen.size() > 3);
		assertThat(held("d1") + held("d2")).isEqualTo(1);
		d.dispose();
		ServingFixture.await(this.f::nothingHeld);
	}

	/**
	 * A caller keeps its connection open and reads nothing. Without a limit it would hold
	 * a slot, and the router's memory, until its deadline.
	 */
	@Test
	void cutsOffCallerThatStopsReading() throws Exception {
		this.f.close();
		this.f = new ServingFixture(EngineStandinSettings.small(ServingFixture.workers()).withSpeeds(0.01, 0.05, 0));
		EntryVm vm = this.f.owner("vm-1", new CallerSettings.Builder().slowReaders(200, 16 * 1024).build());
		this.f.awaitReady(vm);
		try (Socket s = new Socket()) {
			s.setReceiveBufferSize(4096);
			String[] a = vm.callerAddress().split(":");
			s.connect(new InetSocketAddress(a[0], Integer.parseInt(a[1])));
			String body = ServingFixture.card("x", 1_000_000, true);
			s.getOutputStream()
				.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\n"
						+ "Shallotspur-Class: registration-card\r\nContent-Length: " + body.length() + "\r\n\r\n"
						+ body)
					.getBytes(StandardCharsets.US_ASCII));
			ServingFixture.await(() -> held("d1") + held("d2") == 1);
			ServingFixture.await(this.f::nothingHeld);
		}
	}

	/**
	 * The decode worker dies in the middle of an answer. The caller sees one whole
	 * answer: the rest comes from another worker.
	 */
	@Test
	void goesOnAfterWorkerCrash() {
		EntryVm vm = slow(0.01, 10);
		List<String> seen = new CopyOnWriteArrayList<>();
		Disposable d = this.f.stream(vm, ServingFixture.card("x", 60, true), NONE).subscribe(seen::add);
		ServingFixture.await(() -> seen.size() > 5);
		this.f.engines.crash((held("d1") > 0) ? "d1" : "d2", 300).block(ServingFixture.PATIENCE);
		ServingFixture.await(d::isDisposed);
		List<Integer> ids = seen.stream()
			.filter((e) -> e.startsWith("id: "))
			.map((e) -> Integer.parseInt(e.substring(4, e.indexOf('\n'))))
			.toList();
		assertThat(ids).hasSize(60).isSorted().doesNotHaveDuplicates();
		assertThat(seen.get(seen.size() - 1)).isEqualTo("data: [DONE]\n\n");
	}

	private EntryVm slow(double prefillMs, double stepMs) {
		this.f.close();
		this.f = new ServingFixture(
				EngineStandinSettings.small(ServingFixture.workers()).withSpeeds(prefillMs, stepMs, 0));
		EntryVm vm = this.f.owner("vm-1");
		this.f.awaitReady(vm);
		return vm;
	}

	private int held(String worker) {
		return this.f.state(worker).path("active").asInt();
	}

}
