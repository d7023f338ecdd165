package io.shallotspur.node.quarantine;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.demo.VirtualNode;
import io.shallotspur.demo.VirtualPeers;
import io.shallotspur.demo.VirtualTime;
import io.shallotspur.quarantine.CrashSuspects;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectExchangeTests {

	private static final long POISON = 666;

	private final VirtualTime time = new VirtualTime(1_000);

	private final VirtualPeers peers = new VirtualPeers(this.time,
			SuspectMessages.register(PeerCodec.builder()).build(), 1);

	private final CrashSuspects a = new CrashSuspects();

	private final CrashSuspects b = new CrashSuspects();

	private final SuspectExchange fromA = join("a", "b", this.a);

	private final SuspectExchange fromB = join("b", "a", this.b);

	@Test
	void requestThatCrashedAWorkerOfEachNodeIsRefusedByBoth() {
		// Its caller sends it to another entry VM after the first crash. If that one knew
		// nothing, each entry VM would lose two workers to it.
		this.a.recordCrash("w1", List.of(1L, POISON), this.time.now());
		this.fromA.tellChanges();
		this.time.advance(10);
		assertThat(this.b.isSuspect(POISON, this.time.now())).isTrue();
		assertThat(this.b.recordCrash("w2", List.of(2L, POISON), this.time.now())).containsExactly(POISON);
		this.fromB.tellChanges();
		this.time.advance(10);
		assertThat(this.a.isQuarantined(POISON, this.time.now())).isTrue();
	}

	@Test
	void lostMessageIsMendedByAsking() {
		this.peers.setLost((from, to) -> true);
		this.a.recordCrash("w1", List.of(POISON), this.time.now());
		this.fromA.tellChanges();
		this.time.advance(10);
		assertThat(this.b.isSuspect(POISON, this.time.now())).isFalse();
		this.peers.setLost((from, to) -> false);
		this.fromB.repair(new SplittableRandom(1));
		this.time.advance(10);
		assertThat(this.b.isSuspect(POISON, this.time.now())).isTrue();
	}

	private SuspectExchange join(String self, String other, CrashSuspects s) {
		VirtualNode n = new VirtualNode(this.time);
		return new SuspectExchange(self, s, this.peers.join(self, n), () -> List.of(other), n);
	}

}
