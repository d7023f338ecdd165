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
 * Tests of {@link PatientBind}.
 */
class PatientBindTests {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private final Loop loop = new Loop();

	@AfterEach
	void close() {
		this.loop.close();
	}

	private Mono<? extends DisposableServer> bind(int port) {
		return TcpServer.create().host("127.0.0.1").port(port).runOn(this.loop.resources(), false).bind();
	}

	// A VM was killed, and while it was down another connection was given its port. The
	// VM that starts there ended at once with code 1 and was missing.
	@Test
	void waitsForAPortThatIsTakenForAMoment() throws IOException {
		ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
		int port = other.getLocalPort();
		Assertions.assertThatThrownBy(() -> bind(port).block(LIMIT)).isInstanceOf(ChannelBindException.class);
		CompletableFuture<DisposableServer> server = PatientBind.of(bind(port), this.loop.scheduler())
			.cast(DisposableServer.class)
			.toFuture();
		other.close();
		DisposableServer s = server.orTimeout(LIMIT.toSeconds(), TimeUnit.SECONDS).join();
		Assertions.assertThat(s.port()).isEqualTo(port);
		s.disposeNow();
	}

}
