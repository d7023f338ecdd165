package io.shallotspur.platform;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoopGroup;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link Loop}.
 */
class LoopTests {

	// The gateway's state has no locks. If sockets of callers and workers were served by
	// different threads, counts would drift apart and a VM would believe its workers
	// full.
	@Test
	void serversClientsAndTimersShareOneThread() {
		Loop loop = new Loop();
		CompletableFuture<Thread> timer = new CompletableFuture<>();
		loop.schedule(0, () -> timer.complete(Thread.currentThread()));
		Assertions.assertThat(threadOf(loop.resources().onServer(false))).isSameAs(timer.join());
		Assertions.assertThat(threadOf(loop.resources().onClient(false))).isSameAs(timer.join());
		loop.close();
	}

	private static Thread threadOf(EventLoopGroup group) {
		CompletableFuture<Thread> t = new CompletableFuture<>();
		group.next().execute(() -> t.complete(Thread.currentThread()));
		return t.join();
	}

}
