package io.shallotspur.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * End-to-end tests of requests that wait in their sockets until a busy VM reads them.
 */
class LateReadTests extends EndToEndFixture {

	private static final long BUSY_MS = 1_200;

	private static final int CALLERS = 40;

	private final List<Socket> callers = new ArrayList<>();

	// Guards against time limits that are counted from when a request is read, on kept
	// connections and on new ones, of which many wait to be accepted at once.
	@Test
	void theTimeUntilARequestIsReadIsNotHandedToTheWorker() throws IOException, InterruptedException {
		this.callers.add(new Socket("127.0.0.1", this.vm.callersPort()));
		call(this.callers.get(0), "/safe/first", 5_000);
		Assertions.assertThat(this.callers.get(0).getInputStream().read()).isEqualTo('H');
		whileBusy("/safe/late", 5_000);
		for (Socket s : this.callers) {
			Assertions.assertThat(s.getInputStream().read()).isPositive();
		}
		List<Long> handed = new ArrayList<>();
		for (FakeWorker w : List.of(this.p1, this.p2)) {
			w.receivedHeaders.forEach((h) -> handed.add(Long.parseLong(h.get("X-Deadline-Ms"))));
		}
		Assertions.assertThat(handed.stream().filter((ms) -> ms > 5_000 - BUSY_MS)).hasSize(1);
	}

	// Guards against a request that is sent to a worker after its time, as its wait in
	// the socket is not counted.
	@Test
	void aRequestThatIsReadAfterItsTimeIsRefusedAndNotSent() throws IOException, InterruptedException {
		whileBusy("/unsafe/late", BUSY_MS / 2);
		for (Socket s : this.callers) {
			byte[] head = s.getInputStream().readNBytes("HTTP/1.1 503".length());
			Assertions.assertThat(new String(head, StandardCharsets.US_ASCII)).isEqualTo("HTTP/1.1 503");
		}
		Assertions.assertThat(this.p1.receivedRequests).isEmpty();
		Assertions.assertThat(this.p2.receivedRequests).isEmpty();
	}

	// Sends a request on each open and many new connections while the loop is busy.
	private void whileBusy(String path, long timeoutMs) throws IOException, InterruptedException {
		CountDownLatch busy = new CountDownLatch(1);
		CountDownLatch sent = new CountDownLatch(1);
		this.vm.loop().execute(() -> {
			busy.countDown();
			awaitUninterruptibly(sent);
		});
		busy.await();
		while (this.callers.size() < CALLERS) {
			this.callers.add(new Socket("127.0.0.1", this.vm.callersPort()));
		}
		for (Socket s : this.callers) {
			call(s, path, timeoutMs);
		}
		TimeUnit.MILLISECONDS.sleep(BUSY_MS);
		sent.countDown();
	}

	private static void call(Socket s, String path, long timeoutMs) throws IOException {
		String request = "GET " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r2\r\nX-Deadline-Ms: "
				+ timeoutMs + "\r\n\r\n";
		s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		s.getOutputStream().flush();
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
