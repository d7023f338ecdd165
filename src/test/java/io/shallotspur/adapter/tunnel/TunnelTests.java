package io.shallotspur.adapter.tunnel;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelOption;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;
import reactor.netty.ByteBufMono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/**
 * Tests of tunnels over real sockets, with a worker that is played by hand.
 */
class TunnelTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final String HEAD = "HTTP/1.1 200 OK\r\n";

	private final LoopResources loop = LoopResources.create("tunnel-test", 1, true);

	private final Map<String, InetSocketAddress> workers = new ConcurrentHashMap<>();

	private final TunnelServer server = new TunnelServer(this.loop.onServer(false), "vms/b",
			(w) -> Optional.ofNullable(this.workers.get(w)));

	private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

	private ServerSocket worker;

	private InetSocketAddress address;

	@BeforeEach
	void start() throws IOException {
		this.worker = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		this.workers.put("w", (InetSocketAddress) this.worker.getLocalSocketAddress());
		Thread t = new Thread(this::accept);
		t.setDaemon(true);
		t.start();
		this.address = this.server.bind("127.0.0.1", 0).block(TIMEOUT);
	}

	private void accept() {
		while (!this.worker.isClosed()) {
			try {
				this.accepted.add(this.worker.accept());
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	@AfterEach
	void stop() throws IOException {
		this.worker.close();
		onLoop(this.server::close);
		this.loop.disposeLater(Duration.ZERO, Duration.ofSeconds(1)).block();
	}

	private void onLoop(Runnable task) {
		Mono.fromRunnable(task).subscribeOn(Schedulers.fromExecutor(this.loop.onServer(false))).block(TIMEOUT);
	}

	private HttpClient client() {
		HttpClient base = HttpClient.create(ConnectionProvider.newConnection())
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000);
		return TunnelClient.through(base, this.address, new TunnelRequest("vms/b", "w"));
	}

	private Mono<String> get() {
		return client().get().uri("http://192.0.2.1:99/x").responseContent().aggregate().asString();
	}

	private Socket connection() throws InterruptedException {
		return this.accepted.poll(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
	}

	private static String readRequest(Socket s) throws IOException {
		StringBuilder text = new StringBuilder();
		while (!text.toString().endsWith("\r\n\r\n")) {
			text.append((char) s.getInputStream().read());
		}
		return text.toString();
	}

	private Call startCall() throws IOException, InterruptedException {
		Mono<String> body = get().cache();
		body.subscribe((b) -> {
		}, (ex) -> {
		});
		Socket s = connection();
		return new Call(readRequest(s), s, body);
	}

	private static void write(Socket s, String text) throws IOException {
		s.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		s.getOutputStream().flush();
	}

	private TunnelStatus check(String vm, String to) {
		return TunnelClient.check(TcpClient.newConnection(), this.address, new TunnelRequest(vm, to)).block(TIMEOUT);
	}

	@Test
	void passesTheRequestAndTheResponseOn() throws Exception {
		Call call = startCall();
		Assertions.assertThat(call.request()).startsWith("GET /x HTTP/1.1\r\n").contains("192.0.2.1:99");
		write(call.worker(), HEAD + "Content-Length: 4\r\n\r\nfine");
		Assertions.assertThat(call.body().block(TIMEOUT)).isEqualTo("fine");
	}

	@Test
	void passesALargeResponseOn() throws Exception {
		Call call = startCall();
		write(call.worker(), HEAD + "Content-Length: 3000000\r\n\r\n" + "x".repeat(3_000_000));
		Assertions.assertThat(call.body().block(TIMEOUT)).hasSize(3_000_000);
	}

	// Guards against a request that breaks off because its body does not fit into a
	// frame.
	@Test
	void passesALargeRequestOn() throws Exception {
		byte[] content = new byte[3_000_000];
		Mono<String> body = client().headers((h) -> h.set("Content-Length", content.length))
			.post()
			.uri("http://192.0.2.1:99/x")
			.send(ByteBufMono.fromString(Mono.just("x".repeat(content.length))))
			.responseContent()
			.aggregate()
			.asString()
			.cache();
		body.subscribe();
		Socket s = connection();
		readRequest(s);
		Assertions.assertThat(s.getInputStream().readNBytes(content.length)).hasSize(content.length);
		write(s, HEAD + "Content-Length: 4\r\n\r\nfine");
		Assertions.assertThat(body.block(TIMEOUT)).isEqualTo("fine");
	}

	// Guards against a whole response without a length that is taken as broken off.
	@Test
	void aResponseMayEndWithItsConnection() throws Exception {
		Call call = startCall();
		write(call.worker(), HEAD + "Connection: close\r\n\r\nwhole");
		call.worker().close();
		Assertions.assertThat(call.body().block(TIMEOUT)).isEqualTo("whole");
	}

	// Guards against half a response that looks whole, because the other VM has ended and
	// its connections were closed as properly as a worker's.
	@Test
	void aTunnelThatBreaksOffDoesNotLookLikeTheEndOfTheResponse() throws Exception {
		Call call = startCall();
		write(call.worker(), HEAD + "Connection: close\r\n\r\nhalf");
		onLoop(this.server::close);
		Assertions.assertThatThrownBy(() -> call.body().block(TIMEOUT)).hasRootCauseInstanceOf(IOException.class);
	}

	// Guards against half a response that looks whole, because the worker's reset reaches
	// the caller's VM as a proper close.
	@Test
	void aResetByTheWorkerDoesNotLookLikeTheEndOfTheResponse() throws Exception {
		Call call = startCall();
		write(call.worker(), HEAD + "Connection: close\r\n\r\nhalf");
		call.worker().setSoLinger(true, 0);
		call.worker().close();
		Assertions.assertThatThrownBy(() -> call.body().block(TIMEOUT)).hasRootCauseInstanceOf(IOException.class);
	}

	// Guards against a worker that goes on with a request whose caller has left.
	@Test
	void theWorkersConnectionIsClosedWithTheTunnel() throws Exception {
		Disposable call = get().subscribe();
		Socket s = connection();
		readRequest(s);
		call.dispose();
		s.setSoTimeout((int) TIMEOUT.toMillis());
		Assertions.assertThat(s.getInputStream().read()).isEqualTo(-1);
	}

	// A listener that is closed while it waits for connections accepts for a moment more.
	private void awaitRefused() {
		long end = System.nanoTime() + TIMEOUT.toNanos();
		TunnelStatus status = check("vms/b", "w");
		while (status == TunnelStatus.CONNECTED && System.nanoTime() < end) {
			status = check("vms/b", "w");
		}
		Assertions.assertThat(status).isEqualTo(TunnelStatus.REFUSED);
	}

	@Test
	void tellsHowTheWorkersAddressResponds() throws IOException {
		Assertions.assertThat(check("vms/b", "w")).isEqualTo(TunnelStatus.CONNECTED);
		this.worker.close();
		awaitRefused();
	}

	// Guards against a request that is passed to whatever listens at the address of a VM
	// that has ended, and against a VM that connects strangers to any address.
	@Test
	void connectsNobodyWhoMeansAnotherVmOrAnUnknownWorker() {
		Assertions.assertThat(check("vms/a", "w")).isEqualTo(TunnelStatus.UNAVAILABLE);
		Assertions.assertThat(check("vms/b", "other")).isEqualTo(TunnelStatus.UNAVAILABLE);
	}

	@Test
	void aDrainingVmOpensNoTunnelAndKeepsThoseItHas() throws Exception {
		Call call = startCall();
		onLoop(this.server::drain);
		Assertions.assertThat(check("vms/b", "w")).isEqualTo(TunnelStatus.UNAVAILABLE);
		write(call.worker(), HEAD + "Content-Length: 4\r\n\r\nfine");
		Assertions.assertThat(call.body().block(TIMEOUT)).isEqualTo("fine");
	}

	// Guards against a request that is reported as sent although the tunnel was refused.
	@Test
	void aRefusedTunnelSendsNothing() {
		this.workers.clear();
		Assertions.assertThatThrownBy(() -> get().block(TIMEOUT)).hasRootCauseInstanceOf(TunnelException.class);
		Assertions.assertThat(this.accepted).isEmpty();
	}

	/**
	 * A call whose request has reached the worker.
	 */
	private record Call(String request, Socket worker, Mono<String> body) {

	}

}
