package io.shallotspur.platform;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.EventLoopGroup;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

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
