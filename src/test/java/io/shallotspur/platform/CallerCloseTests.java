package io.shallotspur.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * End-to-end tests of callers that close their connections.
 */
class CallerCloseTests extends EndToEndFixture {

	private static final int MARKER_REQUESTS = 5;

	// Guards against a request that a busy VM reads after its caller has given up, and
	// sends to a worker all the same.
	@Test
	void sendsNothingForACallerThatClosedBeforeItsRequestWasRead() throws IOException, InterruptedException {
		Socket caller = new Socket("127.0.0.1", this.vm.callersPort());
		write(caller, "/safe/first");
		Assertions.assertThat(caller.getInputStream().read()).isEqualTo('H');
		CountDownLatch busy = new CountDownLatch(1);
		CountDownLatch resume = new CountDownLatch(1);
		this.vm.loop().execute(() -> {
			busy.countDown();
			awaitUninterruptibly(resume);
		});
		busy.await();
		write(caller, "/safe/gone");
		caller.close();
		awaitDelivery();
		resume.countDown();
		for (int i = 0; i < MARKER_REQUESTS; i++) {
			Assertions.assertThat(send(request("/safe/marker").build()).statusCode()).isEqualTo(200);
		}
		Assertions.assertThat(this.p1.receivedRequests).noneMatch((r) -> r.contains("gone"));
		Assertions.assertThat(this.p2.receivedRequests).noneMatch((r) -> r.contains("gone"));
	}

	private static void write(Socket s, String path) throws IOException {
		String request = "GET " + path
				+ " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r2\r\nX-Deadline-Ms: 5000\r\n\r\n";
		s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		s.getOutputStream().flush();
	}

	// The handshake of a later connection is answered once the kernel has delivered what
	// was sent before.
	private void awaitDelivery() throws IOException {
		new Socket("127.0.0.1", this.vm.callersPort()).close();
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
