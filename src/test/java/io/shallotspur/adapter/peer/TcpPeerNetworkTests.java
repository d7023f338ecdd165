package io.shallotspur.adapter.peer;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.StepVerifier;

import io.shallotspur.exc.PeerException;
import io.shallotspur.port.PeerMessage;

import static org.assertj.core.api.Assertions.assertThat;

class TcpPeerNetworkTests {

	private static final long TIMEOUT_MS = 10_000;

	private static final PeerCodec CODEC = PeerCodec.builder().register(1, Text.class).register(41, Blob.class).build();

	private final List<TcpPeerNetwork> started = new ArrayList<>();

	@AfterEach
	void stop() {
		this.started.forEach(TcpPeerNetwork::stop);
	}

	@Test
	void asksStreamsAndSendsShareLinks() throws Exception {
		TcpPeerNetwork server = network(settings("c1", "secret"));
		CountDownLatch taken = new CountDownLatch(1);
		server.onAsk(Text.class, (m) -> Mono.just(new Text(m.text() + "!", m.number() + 1, List.of("a", "b"))));
		server.onStream(Blob.class, (m) -> Flux.range(0, 1000).map((i) -> new Text("t", i, List.of())));
		server.onSend(Text.class, (m) -> taken.countDown());
		String to = start(server);
		TcpPeerNetwork client = network(settings("c1", "secret"));
		StepVerifier.create(client.ask(to, new Text("hi", 7, List.of()), TIMEOUT_MS))
			.expectNext(new Text("hi!", 8, List.of("a", "b")))
			.verifyComplete();
		StepVerifier.create(client.stream(to, new Blob(new byte[3])).map((m) -> ((Text) m).number()))
			.expectNextSequence(IntStream.range(0, 1000).boxed().toList())
			.verifyComplete();
		client.send(to, new Text("one way", 0, List.of()));
		assertThat(taken.await(10, TimeUnit.SECONDS)).isTrue();
		assertThat(client.traffic().messagesOut(1, 39)).isEqualTo(2);
		assertThat(server.traffic().rejectedLinks()).isZero();
	}

	/**
	 * A caller hangs up while its answer is being forwarded. If the peer went on, its
	 * engine would generate for nobody.
	 */
	@Test
	void cancellingAStreamCancelsItAtThePeer() throws Exception {
		TcpPeerNetwork server = network(settings("c1", "secret"));
		CountDownLatch cancelled = new CountDownLatch(1);
		AtomicLong produced = new AtomicLong();
		server.onStream(Text.class,
				(m) -> Flux.generate((sink) -> sink.next(new Text("x", (int) produced.incrementAndGet(), List.of())))
					.cast(Text.class)
					.doOnCancel(cancelled::countDown));
		TcpPeerNetwork client = network(settings("c1", "secret"));
		StepVerifier.create(client.stream(start(server), new Text("go", 0, List.of())).take(10))
			.expectNextCount(10)
			.verifyComplete();
		assertThat(cancelled.await(10, TimeUnit.SECONDS)).isTrue();
		assertThat(produced.get()).isLessThan(1000);
	}

	/**
	 * A VM of another deployment, or one with an old secret, connects by mistake. Without
	 * the check it would gossip its own members and contracts into this deployment.
	 */
	@Test
	void strangersAreRefused() throws Exception {
		TcpPeerNetwork server = network(settings("c1", "secret"));
		server.onAsk(Text.class, Mono::just);
		String to = start(server);
		for (PeerSettings s : List.of(settings("c1", "other"), settings("c2", "secret"))) {
			StepVerifier.create(network(s).ask(to, new Text("hi", 0, List.of()), TIMEOUT_MS))
				.verifyErrorSatisfies((ex) -> assertThat(ex).isInstanceOf(PeerException.class));
		}
		assertThat(server.traffic().messagesIn(1, 127)).isZero();
	}

	/**
	 * A port scanner or a broken program writes to the peer port: noise, a huge length, a
	 * question before the handshake, or nothing at all. Each must lose its connection and
	 * hold no memory, and the others must not notice.
	 */
	@Test
	void brokenFramesCloseTheLink() throws Exception {
		TcpPeerNetwork server = network(settings("c1", "secret").withTimes(300, 2000, 60_000));
		server.onAsk(Text.class, Mono::just);
		InetSocketAddress to = Objects.requireNonNull(server.start().block());
		byte[] early = new Frame(FrameKind.ASK, 1, 1, CODEC.encode(new Text("hi", 0, List.of()))).encode();
		assertThat(closedAfter(to, frame(new byte[] { (byte) 0xc1, 0x00 }))).isTrue();
		assertThat(closedAfter(to, new byte[] { 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1 })).isTrue();
		assertThat(closedAfter(to, frame(early))).isTrue();
		assertThat(closedAfter(to, new byte[0])).isTrue();
		assertThat(server.traffic().rejectedLinks()).isEqualTo(4);
		TcpPeerNetwork client = network(settings("c1", "secret"));
		StepVerifier.create(client.ask(address(to), new Text("hi", 0, List.of()), TIMEOUT_MS))
			.expectNextCount(1)
			.verifyComplete();
	}

	/**
	 * The peer dies while it works on a question. The asker learns it as a typed error at
	 * once, and its next question opens a new link.
	 */
	@Test
	void aDyingPeerFailsItsCalls() throws Exception {
		TcpPeerNetwork server = network(settings("c1", "secret"));
		server.onAsk(Text.class, (m) -> Mono.never());
		String to = start(server);
		TcpPeerNetwork client = network(settings("c1", "secret"));
		StepVerifier.create(client.ask(to, new Text("hi", 0, List.of()), 30_000)).then(() -> {
			awaitAsked(server);
			server.stop();
		}).expectError(PeerException.class).verify(Duration.ofSeconds(10));
		TcpPeerNetwork again = network(new PeerSettings("127.0.0.1", port(to), "c1", bytes("secret"), null, 1 << 20,
				1 << 20, 16, TIMEOUT_MS, 2000, 60_000));
		again.onAsk(Text.class, Mono::just);
		again.start().block();
		StepVerifier.create(client.ask(to, new Text("hi", 0, List.of()), TIMEOUT_MS).retry(20))
			.expectNextCount(1)
			.verifyComplete();
	}

	@Test
	void timeoutsCancelThePeersWorkAndLargeMessagesAreRefused() throws Exception {
		TcpPeerNetwork server = network(settings("c1", "secret"));
		CountDownLatch cancelled = new CountDownLatch(1);
		server.onAsk(Text.class,
				(m) -> (m.number() == 0) ? Mono.just(m) : Mono.<Text>never().doOnCancel(cancelled::countDown));
		server.onAsk(Blob.class, Mono::just);
		String to = start(server);
		TcpPeerNetwork client = network(settings("c1", "secret").withSizes(1000, 1 << 20, 8));
		client.ask(to, new Text("hi", 0, List.of()), TIMEOUT_MS).block();
		StepVerifier.create(client.ask(to, new Text("hi", 1, List.of()), 200)).verifyError(PeerException.class);
		assertThat(cancelled.await(10, TimeUnit.SECONDS)).isTrue();
		StepVerifier.create(client.ask(to, new Blob(new byte[2000]), TIMEOUT_MS)).verifyError(PeerException.class);
		StepVerifier.create(client.ask(to, new Blob(new byte[500]), TIMEOUT_MS)).expectNextCount(1).verifyComplete();
	}

	// Guards against messages that are lost for ever on a link that has fallen silent, as
	// each call has timed out when the silence is noticed.
	@Test
	void aLinkOnWhichCallsTimeOutIsReplaced() throws Exception {
		TcpPeerNetwork server = network(settings("c1", "secret"));
		server.onAsk(Text.class, Mono::just);
		try (SilencedRelay relay = new SilencedRelay(Integer.parseInt(start(server).split(":")[1]))) {
			TcpPeerNetwork client = network(settings("c1", "secret").withTimes(TIMEOUT_MS, 100, 60_000));
			client.ask(relay.address(), new Text("hi", 0, List.of()), TIMEOUT_MS).block();
			relay.silenceOpenConnections();
			StepVerifier.create(client.ask(relay.address(), new Text("hi", 1, List.of()), 50))
				.verifyError(PeerException.class);
			assertThat(relay.awaitClosedByClient()).isTrue();
			// A call in the moment of the close may still find the old link.
			StepVerifier.create(client.ask(relay.address(), new Text("hi", 2, List.of()), TIMEOUT_MS).retry(20))
				.expectNextCount(1)
				.verifyComplete();
		}
	}

	private static void awaitAsked(TcpPeerNetwork server) {
		Flux.interval(Duration.ofMillis(5))
			.filter((i) -> server.traffic().messagesIn(1, 1) > 0)
			.blockFirst(Duration.ofSeconds(10));
	}

	private static boolean closedAfter(InetSocketAddress to, byte[] bytes) throws IOException {
		try (Socket s = new Socket(to.getAddress(), to.getPort())) {
			s.setSoTimeout(10_000);
			new DataOutputStream(s.getOutputStream()).write(bytes);
			s.getInputStream().readAllBytes();
			return true;
		}
	}

	private static byte[] frame(byte[] body) {
		byte[] b = new byte[body.length + 4];
		b[3] = (byte) body.length;
		System.arraycopy(body, 0, b, 4, body.length);
		return b;
	}

	private TcpPeerNetwork network(PeerSettings settings) throws Exception {
		TcpPeerNetwork n = new TcpPeerNetwork(settings, CODEC);
		this.started.add(n);
		return n;
	}

	private static PeerSettings settings(String cluster, String secret) {
		return PeerSettings.of("127.0.0.1", 0, cluster, bytes(secret)).withTimes(TIMEOUT_MS, 2000, 60_000);
	}

	private static String start(TcpPeerNetwork n) {
		return address(Objects.requireNonNull(n.start().block()));
	}

	private static String address(InetSocketAddress a) {
		return "127.0.0.1:" + a.getPort();
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.indexOf(':') + 1));
	}

	private static byte[] bytes(String s) {
		return s.getBytes(StandardCharsets.UTF_8);
	}

	record Text(String text, int number, @Nullable List<String> list) implements PeerMessage {

	}

	record Blob(byte[] bytes) implements PeerMessage {

	}

}
