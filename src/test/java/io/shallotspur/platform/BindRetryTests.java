package io.shallotspur.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Tests of {@link BindRetry}.
 */
class BindRetryTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private final VmEventLoop loop = new VmEventLoop();

	@AfterEach
	void close() {
		this.loop.close();
	}

	private Mono<? extends DisposableServer> bind(int port) {
		return TcpServer.create().host("127.0.0.1").port(port).runOn(this.loop.resources(), false).bind();
	}

	// While a killed VM is down, its port can be taken as the local port of another
	// connection. Without retries the restarted VM exits with code 1 and stays down.
	@Test
	void retriesUntilThePortIsFree() throws IOException {
		ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
		int port = other.getLocalPort();
		Assertions.assertThatThrownBy(() -> bind(port).block(TIMEOUT)).isInstanceOf(ChannelBindException.class);
		CompletableFuture<DisposableServer> server = BindRetry.withRetry(bind(port), this.loop.scheduler())
			.cast(DisposableServer.class)
			.toFuture();
		other.close();
		DisposableServer s = server.orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS).join();
		Assertions.assertThat(s.port()).isEqualTo(port);
		s.disposeNow();
	}

}
