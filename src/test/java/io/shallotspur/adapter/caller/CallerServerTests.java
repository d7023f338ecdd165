package io.shallotspur.adapter.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.node.AnswerPart;
import io.shallotspur.node.CallerRequest;
import io.shallotspur.node.Location;
import io.shallotspur.node.RequestHandler;
import io.shallotspur.node.ResumeRequest;
import io.shallotspur.port.PlainReply;

class CallerServerTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

	// More than the kernel takes.
	private static final int ANSWER_BYTES = 32 << 20;

	// Guards against a VM that leaves while it holds an answer that its caller reads
	// slowly.
	@Test
	void anAnswerIsOpenUntilItsCallerHasTakenIt() throws IOException {
		LargeAnswers handler = new LargeAnswers();
		CallerServer server = new CallerServer(CallerSettings.defaults());
		String address = server.start(handler).block(TIMEOUT);
		Assertions.assertThat(address).isNotNull();
		try (Socket s = new Socket()) {
			s.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			s.connect(new InetSocketAddress("127.0.0.1",
					Integer.parseInt(address.substring(address.lastIndexOf(':') + 1))));
			s.getOutputStream()
				.write("GET /v1/upstreams/large/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer k\r\nShallotspur-Class: c\r\n\r\n"
					.getBytes(StandardCharsets.US_ASCII));
			await(handler.answered::get);
			Assertions.assertThat(server.openAnswers()).isOne();
			Assertions.assertThat(skipBody(s.getInputStream())).isGreaterThan(ANSWER_BYTES);
			await(() -> server.openAnswers() == 0);
		}
		finally {
			server.stop().block(TIMEOUT);
		}
	}

	// Guards against a request that fails before it is handled and stays counted, so that
	// a VM that leaves waits for the whole of its grace time.
	@Test
	void aRequestWhosePathCannotBeDecodedIsNotOpen() throws IOException {
		CallerServer server = new CallerServer(CallerSettings.defaults());
		String address = server.start(new LargeAnswers()).block(TIMEOUT);
		Assertions.assertThat(address).isNotNull();
		int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
		try (Socket s = new Socket("127.0.0.1", port)) {
			s.getOutputStream()
				.write("GET /%zz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
			Assertions.assertThat(new String(s.getInputStream().readAllBytes(), StandardCharsets.US_ASCII))
				.startsWith("HTTP/1.1 400");
			await(() -> server.openAnswers() == 0);
		}
		finally {
			server.stop().block(TIMEOUT);
		}
	}

	private static long skipBody(InputStream in) throws IOException {
		byte[] buffer = new byte[1 << 20];
		long n = 0;
		while (n <= ANSWER_BYTES) {
			n += Math.max(0, in.read(buffer));
		}
		return n;
	}

	private static void await(BooleanSupplier done) {
		long end = System.nanoTime() + TIMEOUT.toNanos();
		while (!done.getAsBoolean() && System.nanoTime() < end) {
			Thread.onSpinWait();
		}
		Assertions.assertThat(done.getAsBoolean()).isTrue();
	}

	/** Answers each plain call at once. */
	private static final class LargeAnswers implements RequestHandler {

		private final AtomicBoolean answered = new AtomicBoolean();

		@Override
		public Mono<Location> locate(String customer, String className) {
			return Mono.never();
		}

		@Override
		public Flux<AnswerPart> model(CallerRequest request) {
			return Flux.never();
		}

		@Override
		public Flux<AnswerPart> resume(ResumeRequest request) {
			return Flux.never();
		}

		@Override
		public Mono<PlainReply> plain(CallerRequest request, String upstream, String method, String path,
				String contentType) {
			return Mono.just(new PlainReply(200, "", new byte[ANSWER_BYTES])).doFinally((s) -> this.answered.set(true));
		}

	}

}
