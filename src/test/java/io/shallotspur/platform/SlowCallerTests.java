package io.shallotspur.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * End-to-end tests of callers that send the body of a request slowly.
 */
class SlowCallerTests extends EndToEndFixture {

	private static final long TIMEOUT_MS = 4_000;

	private static final long BODY_DELAY_MS = 700;

	// Guards against handing a worker more time than the caller has left.
	@Test
	void theTimeThatTheBodyTakesIsNotHandedToTheWorker() throws IOException, InterruptedException {
		try (Socket caller = new Socket("127.0.0.1", this.vm.callersPort())) {
			write(caller, "POST /safe/slow HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: slow\r\nX-Deadline-Ms: "
					+ TIMEOUT_MS + "\r\nContent-Length: 4\r\n\r\n");
			awaitHeadRead();
			Thread.sleep(BODY_DELAY_MS);
			write(caller, "body");
			Assertions.assertThat(caller.getInputStream().read()).isEqualTo('H');
		}
		FakeWorker w = this.p1.receivedHeaders.isEmpty() ? this.p2 : this.p1;
		Assertions.assertThat(Long.parseLong(w.receivedHeaders.get(0).get("X-Deadline-Ms")))
			.isLessThanOrEqualTo(TIMEOUT_MS - BODY_DELAY_MS);
	}

	private static void write(Socket s, String text) throws IOException {
		OutputStream out = s.getOutputStream();
		out.write(text.getBytes(StandardCharsets.US_ASCII));
		out.flush();
	}

	// What was sent before a later connection is established has been delivered, and the
	// loop has read it once it has answered on that connection.
	private void awaitHeadRead() throws InterruptedException {
		Assertions.assertThat(send(request("/none/marker").build()).statusCode()).isEqualTo(404);
		CountDownLatch read = new CountDownLatch(1);
		this.vm.loop().executeAfterNextRead(read::countDown);
		read.await();
	}

}
