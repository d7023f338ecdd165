package io.shallotspur.platform;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.netty.http.server.HttpServerResponse;

/**
 * End-to-end tests of callers and workers that read slowly or not at all.
 */
class SlowReaderTests extends EndToEndFixture {

	private static final int PARTS = 16;

	private static final int PART_BYTES = 64 << 10;

	private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

	private static final int BODY_BYTES = 4 << 20;

	private final List<Socket> callers = new ArrayList<>();

	@BeforeEach
	void allowLargeBodiesAndManyConnections() {
		this.store.put("op/config",
				config(8).replace("\"max_body_bytes\":1000", "\"max_body_bytes\":9000000")
					.replace("\"connection_limit\":100", "\"connection_limit\":1000")
					.replace("\"timeout_ms\":5000", "\"timeout_ms\":60000")
					.replace("\"max_attempts\":2", "\"max_attempts\":1"));
		await(() -> send(request("/safe/probe").POST(BodyPublishers.ofByteArray(new byte[2_000])).build())
			.statusCode() == 200);
	}

	@AfterEach
	void closeCallers() throws IOException {
		for (Socket s : this.callers) {
			s.close();
		}
	}

	// Guards against callers that stop reading and thereby use up the VM's memory, so
	// that other callers get no response.
	@Test
	void callersThatStopReadingAreHeldWithinTheBudget() throws IOException {
		callLarge(200);
		await(() -> metric("transit.cut") > 0);
		for (int i = 0; i < 50; i++) {
			Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
			Assertions.assertThat(metric("transit.held-bytes")).isLessThanOrEqualTo(16 << 20);
		}
		int whole = 0;
		for (Socket s : this.callers) {
			whole += isWhole(s) ? 1 : 0;
		}
		Assertions.assertThat(whole).isLessThan(200).isGreaterThan(0);
		await(() -> metric("transit.held-bytes") == 0);
	}

	// Guards against a response that is cut although its caller only reads slowly, and
	// against a worker that is read on while its caller does not read.
	@Test
	void aCallerThatReadsOneByteASecondGetsItsWholeResponse() throws IOException, InterruptedException {
		callLarge(8);
		for (int i = 0; i < 3; i++) {
			TimeUnit.SECONDS.sleep(1);
			for (Socket s : this.callers) {
				s.getInputStream().read();
			}
			Assertions.assertThat(metric("transit.held-bytes")).isBetween(1L, 8L << 20);
		}
		for (Socket s : this.callers) {
			Assertions.assertThat(isWhole(s)).isTrue();
		}
		Assertions.assertThat(metric("transit.cut")).isZero();
	}

	// Guards against bodies that fill the VM's memory as their worker does not read them.
	@Test
	void aWorkerThatDoesNotReadABodyHarmsNoOther() throws IOException {
		try (ServerSocket silent = new ServerSocket()) {
			silent.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			silent.bind(new InetSocketAddress("127.0.0.1", 0));
			this.store.put("servers/p1", this.p1.entry("plain", "ready", silent.getLocalPort()));
			HttpRequest large = request("/unsafe/large").setHeader("X-Deadline-Ms", "700")
				.POST(BodyPublishers.ofByteArray(new byte[BODY_BYTES]))
				.build();
			// One that is at the worker while its address changes may end otherwise.
			awaitOnce(() -> send(large).statusCode() == 504);
			for (int i = 0; i < 5; i++) {
				CompletableFuture<HttpResponse<Void>> pending = this.client.sendAsync(large,
						HttpResponse.BodyHandlers.discarding());
				Assertions.assertThat(send(request("/model/x").build()).statusCode()).isEqualTo(200);
				Assertions.assertThat(pending.join().statusCode()).isIn(200, 504);
			}
			Assertions.assertThat(metric("transit.held-bytes")).isZero();
		}
	}

	private void callLarge(int n) throws IOException {
		for (int i = 0; i < n; i++) {
			this.p1.nextBehaviours.add(SlowReaderTests::largeResponse);
			this.p2.nextBehaviours.add(SlowReaderTests::largeResponse);
		}
		int before = received();
		for (int i = 0; i < n; i++) {
			Socket s = new Socket();
			s.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			s.connect(new InetSocketAddress("127.0.0.1", this.vm.callersPort()));
			this.callers.add(s);
			String request = "GET /safe/large HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Request-Id: r" + i
					+ "\r\nX-Deadline-Ms: 60000\r\n\r\n";
			s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
		}
		await(() -> received() == before + n);
		this.p1.nextBehaviours.clear();
		this.p2.nextBehaviours.clear();
	}

	private int received() {
		return this.p1.receivedRequests.size() + this.p2.receivedRequests.size();
	}

	private static Publisher<Void> largeResponse(HttpServerResponse s) {
		return s.header("X-Server-Stamp", "x").sendByteArray(Flux.range(0, PARTS).map((i) -> new byte[PART_BYTES]));
	}

	// A response that was cut ends without the chunk of length zero.
	private static boolean isWhole(Socket s) {
		byte[] last = new byte[5];
		byte[] buffer = new byte[PART_BYTES];
		try {
			InputStream in = s.getInputStream();
			for (int n = in.read(buffer); n > 0; n = in.read(buffer)) {
				int kept = Math.min(n, last.length);
				System.arraycopy(last, kept, last, 0, last.length - kept);
				System.arraycopy(buffer, n - kept, last, last.length - kept, kept);
				if (new String(last, StandardCharsets.ISO_8859_1).equals("0\r\n\r\n")) {
					return true;
				}
			}
			return false;
		}
		catch (IOException ex) {
			return false;
		}
	}

	private long metric(String name) {
		Matcher m = Pattern
			.compile(Pattern.quote(name).replace(".", "\\E.\\Q").replace("-", "\\E.\\Q") + "\\S* ([0-9.E]+)")
			.matcher(metrics());
		Assertions.assertThat(m.find()).as(name).isTrue();
		return (long) Double.parseDouble(m.group(1));
	}

}
