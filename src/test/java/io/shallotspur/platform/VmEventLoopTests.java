package io.shallotspur.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpServer;

/**
 * Tests of {@link VmEventLoop}.
 */
class VmEventLoopTests {

	// The gateway's state has no locks. If caller and worker sockets were served by
	// different threads, lost updates would corrupt its counters and a VM would consider
	// its workers full.
	@Test
	void serversClientsAndTimersShareOneThread() {
		VmEventLoop loop = new VmEventLoop();
		CompletableFuture<Thread> timer = new CompletableFuture<>();
		loop.schedule(0, () -> timer.complete(Thread.currentThread()));
		Assertions.assertThat(threadOf(loop.resources().onServer(false))).isSameAs(timer.join());
		Assertions.assertThat(threadOf(loop.resources().onClient(false))).isSameAs(timer.join());
		loop.close();
	}

	// Guards against a VM that has finished its drain and ends with an error, which looks
	// like a crash, because its loop is busy while it closes.
	@Test
	void closeOfABusyLoopDoesNotFail() {
		VmEventLoop loop = new VmEventLoop();
		CountDownLatch closed = new CountDownLatch(1);
		CompletableFuture<Thread> busy = new CompletableFuture<>();
		loop.execute(() -> {
			busy.complete(Thread.currentThread());
			awaitUninterruptibly(closed);
		});
		busy.join();
		Assertions.assertThatCode(loop::close).doesNotThrowAnyException();
		closed.countDown();
	}

	// Guards against time limits that a busy VM keeps only once it has handled all
	// sockets that were ready, which takes seconds.
	@Test
	void aTimerThatIsDueRunsBetweenTwoSocketsOfOneRound() throws Exception {
		VmEventLoop loop = new VmEventLoop();
		List<String> order = new CopyOnWriteArrayList<>();
		CountDownLatch read = new CountDownLatch(3);
		DisposableServer server = TcpServer.create()
			.host("127.0.0.1")
			.port(0)
			.runOn(loop.resources(), false)
			.handle((in, out) -> in.receive().asByteArray().doOnNext((b) -> {
				order.add("read");
				sleep(200);
				read.countDown();
			}).then())
			.bindNow();
		List<Socket> sockets = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			sockets.add(new Socket("127.0.0.1", server.port()));
		}
		loop.execute(() -> {
			for (Socket s : sockets) {
				write(s);
			}
			sleep(100);
			loop.schedule(50, () -> order.add("timer"));
		});
		read.await();
		Assertions.assertThat(order).containsExactly("read", "timer", "read", "read");
		server.disposeNow();
		loop.close();
	}

	private static void write(Socket s) {
		try {
			s.getOutputStream().write(1);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void sleep(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Thread threadOf(EventLoopGroup group) {
		CompletableFuture<Thread> t = new CompletableFuture<>();
		group.next().execute(() -> t.complete(Thread.currentThread()));
		return t.join();
	}

}
