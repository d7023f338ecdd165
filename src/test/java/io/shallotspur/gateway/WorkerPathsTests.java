package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of a VM that loses its network paths to workers while other VMs keep theirs.
 */
class WorkerPathsTests {

	private final GatewayFixture f = new GatewayFixture().configured();

	private final List<WorkerInfo> plain = new ArrayList<>();

	@BeforeEach
	void start() {
		this.f.gateway.entryVms().registerSelf(vm("vms/own", "hall-a"));
		this.f.gateway.entryVms().register(vm("vms/b", "hall-a"));
		for (int i = 1; i <= 3; i++) {
			this.plain.add(this.f.addWorker("p" + i, "plain", WorkerStage.PLAIN));
		}
		this.f.gateway.startSampling();
	}

	private static EntryVm vm(String key, String hall) {
		return new EntryVm(key, key + ":80", "region-1", hall, 1, false, key + ":90", "");
	}

	private void cut(WorkerInfo... workers) {
		for (WorkerInfo w : workers) {
			this.f.workers.silent.add(w.id());
		}
	}

	private void cutAll() {
		this.plain.forEach(this::cut);
	}

	private void refuseLastRun() {
		this.f.workers.lastRun().refuseConnection();
	}

	private boolean isLost(WorkerInfo w) {
		return this.f.gateway.paths.isLost(this.f.gateway.roster.instance(w).orElseThrow());
	}

	private long count(String metric) {
		return this.f.metrics.counter(metric).getCount();
	}

	private void loseAll() {
		cutAll();
		this.f.call("safe");
		refuseLastRun();
		this.f.workers.lastRun().respond(200, "fine");
		for (WorkerInfo w : this.plain) {
			this.f.gateway.paths.tunnelVm(w);
		}
		Assertions.assertThat(this.plain).allMatch(this::isLost);
	}

	// Guards against a VM that blames the workers for its lost paths.
	@Test
	void callsAWorkerThatAnotherVmReachesThroughThatVm() {
		cutAll();
		GatewayFixture.Call c = this.f.call("unsafe");
		refuseLastRun();
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
		Assertions.assertThat(count("path.sent-through-vm")).isEqualTo(1);
		Assertions.assertThat(count("path.lost")).isPositive();
	}

	// Guards against a request that is refused because its VM has tried all workers
	// directly, though it could have been sent through another VM.
	@Test
	void triesWorkersAgainThroughAnotherVm() {
		this.plain.subList(1, 3).forEach((w) -> this.f.gateway.roster.entryRemoved(w.id(), this.f.timer.now()));
		cutAll();
		GatewayFixture.Call c = this.f.call("unsafe");
		refuseLastRun();
		Assertions.assertThat(this.f.workers.runs).hasSize(2);
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	// Guards against an endless series of attempts through VMs that say that they reach
	// the worker and cannot open a tunnel.
	@Test
	void triesEachWorkerOnceThroughAnotherVm() {
		cut(this.f.addWorker("d1", "llm", WorkerStage.DECODE));
		GatewayFixture.Call c = this.f.call("once", 14_000, null);
		for (int i = 0; i < 20 && !c.caller().completed; i++) {
			this.f.timer.advance(600);
			refuseLastRun();
		}
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(this.f.workers.runs.size()).isLessThanOrEqualTo(2);
	}

	// Guards against prompts that wait, and are refused as if the workers were full,
	// while
	// the only VM in between opens no tunnels any more.
	@Test
	void refusesAPromptAtOnceWhenTheOnlyVmInBetweenOpensNoTunnels() {
		cut(this.f.addWorker("d1", "llm", WorkerStage.DECODE));
		GatewayFixture.Call c = this.f.callWithPrompt("once", 100);
		this.f.workers.reservations.get(0).listener().onFailure(new ExchangeFailure(false, "refused"));
		Assertions.assertThat(this.f.workers.reservations).hasSize(2);
		this.f.timer.advance(600);
		this.f.workers.seenByVms.put("vms/b", ListenState.NO_RESPONSE);
		this.f.workers.reservations.get(1).listener().onFailure(new ExchangeFailure(false, "tunnel unavailable"));
		Assertions.assertThat(c.caller().refusal).isNotNull();
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.WORKERS_UNREACHABLE);
	}

	// Guards against a worker that is down and is taken for a lost path.
	@Test
	void aWorkerThatNoVmReachesIsDown() {
		cutAll();
		this.f.workers.seenByVms.put("vms/b", ListenState.REFUSES);
		GatewayFixture.Call c = this.f.call("unsafe");
		for (int i = 0; i < 3; i++) {
			refuseLastRun();
		}
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(count("path.lost")).isZero();
		Assertions.assertThat(count("path.worker-not-reached")).isEqualTo(3);
	}

	// Guards against a healthy worker that pauses for a second and is taken for a lost
	// path.
	@Test
	void aWorkerThatIsSilentAndAcceptsConnectionsIsReached() {
		GatewayFixture.Call c = this.f.call("safe");
		this.f.timer.advance(750);
		Assertions.assertThat(this.f.workers.checks).containsExactly(this.f.workers.lastRun().call.worker().id());
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
		Assertions.assertThat(count("path.lost")).isZero();
	}

	// Guards against callers that wait for their deadline on connections that a cut has
	// silenced.
	@Test
	void aSilentAttemptThatMayBeRepeatedGoesOnThroughAnotherVm() {
		GatewayFixture.Call c = this.f.call("resume", 14_000, null);
		Assertions.assertThat(c.caller().completed).isTrue();
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addWorker("d2", "llm", WorkerStage.DECODE);
		GatewayFixture.Call stream = this.f.call("resume", 14_000, null);
		FakeWorkers.Run first = this.f.workers.lastRun();
		cut(first.call.worker());
		this.f.timer.advance(1_800);
		Assertions.assertThat(first.cancelled).isTrue();
		Assertions.assertThat(this.f.workers.lastRun()).isNotSameAs(first);
		this.f.workers.lastRun().respond(200, GatewayFixture.EVENTS);
		Assertions.assertThat(stream.caller().body).isEqualTo(GatewayFixture.EVENTS);
	}

	// Guards against a request that must not run twice and is sent again, or ended,
	// though its response comes when the path is back.
	@Test
	void aSilentAttemptThatMustNotRunTwiceGoesOn() {
		this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		this.f.addWorker("d2", "llm", WorkerStage.DECODE);
		GatewayFixture.Call stream = this.f.call("once", 14_000, null);
		FakeWorkers.Run run = this.f.workers.lastRun();
		cut(run.call.worker());
		this.f.timer.advance(1_800);
		Assertions.assertThat(isLost(run.call.worker())).isTrue();
		Assertions.assertThat(this.f.workers.runs).hasSize(1);
		run.respond(200, GatewayFixture.EVENTS);
		Assertions.assertThat(stream.caller().body).isEqualTo(GatewayFixture.EVENTS);
	}

	// Guards against a draining VM that is no longer used, though no other one reaches
	// the worker.
	@Test
	void keepsTheVmInBetweenWhileNoOtherOneReachesTheWorker() {
		loseAll();
		this.f.gateway.entryVms().register(vm("vms/c", "hall-b"));
		this.f.workers.seenByVms.put("vms/c", ListenState.NO_RESPONSE);
		this.f.gateway.entryVms().deregister("vms/b", 0);
		this.f.timer.advance(600);
		for (int i = 0; i < 3; i++) {
			for (WorkerInfo w : this.plain) {
				Assertions.assertThat(this.f.gateway.paths.tunnelVm(w)).isPresent();
			}
			this.f.timer.advance(600);
		}
	}

	// Guards against a response that is cut off, though its connection still works while
	// new
	// ones are refused.
	@Test
	void anAttemptThatReceivesEventsIsNotInterrupted() {
		WorkerInfo d = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		GatewayFixture.Call stream = this.f.call("once", 14_000, null);
		FakeWorkers.Run run = this.f.workers.lastRun();
		run.respondHead(200);
		this.f.call("once", 14_000, null);
		refuseLastRun();
		Assertions.assertThat(isLost(d)).isTrue();
		for (int i = 1; i <= 20; i++) {
			run.sendEvents("id: " + i + "\ndata: a\n\n");
			this.f.timer.advance(100);
		}
		run.listener.onEnd();
		Assertions.assertThat(run.cancelled).isFalse();
		Assertions.assertThat(stream.caller().completed).isTrue();
	}

	// Guards against a VM that goes on calling workers through another VM when its own
	// path is back.
	@Test
	void usesThePathAgainAfterSeveralConnectionsInARow() {
		loseAll();
		this.f.workers.silent.clear();
		this.f.timer.advance(1_100);
		Assertions.assertThat(this.plain).allMatch(this::isLost);
		this.f.timer.advance(1_000);
		Assertions.assertThat(this.plain).noneMatch(this::isLost);
		long throughVm = count("path.sent-through-vm");
		this.f.call("safe");
		Assertions.assertThat(count("path.sent-through-vm")).isEqualTo(throughVm);
	}

	// Guards against calls that are delayed again and again by a path that comes and
	// goes.
	@Test
	void aPathThatComesAndGoesIsNotUsed() {
		loseAll();
		for (int i = 0; i < 10; i++) {
			this.f.workers.silent.clear();
			this.f.timer.advance(1_000);
			cutAll();
			this.f.timer.advance(500);
			Assertions.assertThat(this.plain).allMatch(this::isLost);
		}
	}

	// Guards against a VM that calls all workers through others, although it has lost the
	// path to one upstream only.
	@Test
	void workersThatStillRespondAreCalledDirectly() {
		loseAll();
		WorkerInfo d = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		Assertions.assertThat(this.f.gateway.paths.tunnelVm(d)).isPresent();
		Assertions.assertThat(this.f.workers.checks).contains("d1");
		Assertions.assertThat(this.f.gateway.paths.tunnelVm(d)).isEmpty();
		Assertions.assertThat(isLost(d)).isFalse();
	}

	// Guards against calls that go on through a VM that has ended.
	@Test
	void asksOtherVmsWhenTheOneInBetweenLeaves() {
		loseAll();
		this.f.gateway.entryVms().register(vm("vms/c", "hall-b"));
		this.f.gateway.entryVms().deregister("vms/b", 0);
		this.f.timer.advance(600);
		for (WorkerInfo w : this.plain) {
			this.f.gateway.paths.tunnelVm(w);
			Assertions.assertThat(this.f.gateway.paths.tunnelVm(w))
				.hasValueSatisfying((vm) -> Assertions.assertThat(vm.key()).isEqualTo("vms/c"));
		}
	}

	// Guards against requests that are refused in the moment in which the VM in between
	// drains and another one is asked for.
	@Test
	void goesOnThroughADrainingVmUntilAnotherOneIsFound() {
		loseAll();
		this.f.gateway.entryVms().deregister("vms/b", 0);
		Assertions.assertThat(this.f.gateway.entryVms().tunnelVms(this.f.timer.now())).isEmpty();
		for (WorkerInfo w : this.plain) {
			Assertions.assertThat(this.f.gateway.paths.tunnelVm(w)).isPresent();
		}
	}

	// Guards against requests that are refused, or sent directly, as soon as a tunnel has
	// failed, though another VM is known to reach workers.
	@Test
	void usesTheLatestOtherVmWhenATunnelFails() {
		WorkerState first = this.f.gateway.roster.instance(this.plain.get(0)).orElseThrow();
		WorkerState second = this.f.gateway.roster.instance(this.plain.get(1)).orElseThrow();
		this.f.gateway.paths.connectFailed(first, this.f.timer.now());
		this.f.gateway.entryVms().register(vm("vms/c", "hall-a"));
		this.f.workers.seenByVms.put("vms/b", ListenState.NO_RESPONSE);
		this.f.gateway.paths.connectFailed(second, this.f.timer.now());
		this.f.gateway.paths.connectFailed(first, this.f.timer.now());
		Assertions.assertThat(this.f.gateway.paths.tunnelVm(first.info()))
			.hasValueSatisfying((vm) -> Assertions.assertThat(vm.key()).isEqualTo("vms/c"));
	}

	// Guards against a VM that gives up because most VMs have lost their paths, too.
	@Test
	void findsTheOneVmAmongManyThatReachesTheWorker() {
		for (int i = 0; i < 6; i++) {
			this.f.gateway.entryVms().register(vm("vms/cut" + i, "hall-a"));
			this.f.workers.seenByVms.put("vms/cut" + i, ListenState.NO_RESPONSE);
		}
		this.f.gateway.entryVms().deregister("vms/b", 0);
		this.f.gateway.entryVms().register(vm("vms/c", "hall-b"));
		cutAll();
		GatewayFixture.Call c = this.f.call("unsafe");
		refuseLastRun();
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(this.f.workers.checksThroughVms).contains("vms/c>p1");
		Assertions.assertThat(count("path.sent-through-vm")).isEqualTo(1);
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	// Guards against tunnels that form a cycle.
	@Test
	void opensNoTunnelToAWorkerWhosePathIsLost() {
		Assertions.assertThat(this.f.gateway.tunnelTarget("p1")).contains(this.plain.get(0));
		loseAll();
		Assertions.assertThat(this.f.gateway.tunnelTarget("p1")).isEmpty();
		Assertions.assertThat(this.f.gateway.tunnelTarget("unknown")).isEmpty();
	}

	// Guards against innocent requests that are published as crashing their workers,
	// because the connections of one VM were reset and new ones are refused.
	@Test
	void aWorkerThatRefusesThisVmOnlyHasNotCrashed() {
		GatewayFixture.Call c = this.f.call("unsafe");
		this.f.workers.ended.add(this.f.workers.lastRun().call.worker().id());
		this.f.workers.lastRun().resetConnection();
		this.f.timer.advance(2_000);
		Assertions.assertThat(c.caller().status).isEqualTo(502);
		Assertions.assertThat(count("relay.crash-checked")).isEqualTo(1);
		Assertions.assertThat(count("relay.worker-crashed")).isZero();
	}

	// Guards against connections that a cut has silenced and that are used after it.
	@Test
	void dropsTheConnectionsOfALostPath() {
		loseAll();
		this.f.timer.advance(700);
		Assertions.assertThat(this.f.workers.dropped).containsExactlyInAnyOrder("p1", "p2", "p3");
	}

	// Guards against a worker that is shunned after the path is back, for failures that
	// were not its own.
	@Test
	void failuresOfALostPathAreNotTheWorkers() {
		loseAll();
		Assertions.assertThat(this.f.gateway.roster.unreachableCount("plain", this.f.timer.now())).isZero();
		for (WorkerInfo w : this.plain) {
			Assertions.assertThat(this.f.gateway.roster.instance(w).orElseThrow().failureRate()).isZero();
		}
	}

	private void loseTheOtherVm() {
		this.f.gateway.entryVms().deregister("vms/b", 0);
	}

	private void findAllUnreachable() {
		loseTheOtherVm();
		cutAll();
		this.f.call("unsafe");
		for (int i = 0; i < this.plain.size(); i++) {
			refuseLastRun();
		}
	}

	// Guards against callers that wait for one connect timeout after the other at a VM
	// that cannot serve them.
	@Test
	void refusesAtOnceWhenThereIsNoPathToAnyWorker() {
		findAllUnreachable();
		int sent = this.f.workers.runs.size();
		GatewayFixture.Call c = this.f.call("unsafe");
		Assertions.assertThat(c.caller().refusal)
			.satisfies((r) -> Assertions.assertThat(r.reason()).isEqualTo(RefusalReason.WORKERS_UNREACHABLE))
			.satisfies((r) -> Assertions.assertThat(r.status()).isEqualTo(503));
		Assertions.assertThat(this.f.workers.runs).hasSize(sent);
	}

	// Guards against prompts that wait for a place at workers that cannot be reached, and
	// are told that these were full.
	@Test
	void refusesAtOnceWhatWaitsForAPlace() {
		loseTheOtherVm();
		WorkerInfo d = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		GatewayFixture.Call c = this.f.callWithPrompt("once", 3_000);
		cut(d);
		this.f.workers.reservations.get(0).listener().onFailure(new ExchangeFailure(true, "timeout"));
		Assertions.assertThat(c.caller().refusal)
			.satisfies((r) -> Assertions.assertThat(r.reason()).isEqualTo(RefusalReason.WORKERS_UNREACHABLE));
	}

	// Guards against a VM that goes on refusing when its workers can be reached again.
	@Test
	void servesAgainSoonAfterAWorkerCanBeReached() {
		findAllUnreachable();
		this.f.timer.advance(2_000);
		this.f.workers.silent.clear();
		this.f.timer.advance(750);
		GatewayFixture.Call c = this.f.call("unsafe");
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	// Guards against a VM that goes on refusing when another VM has come that reaches the
	// workers.
	@Test
	void servesAgainSoonAfterAnotherVmHasCome() {
		findAllUnreachable();
		this.f.gateway.entryVms().register(vm("vms/c", "hall-b"));
		this.f.timer.advance(750);
		GatewayFixture.Call c = this.f.call("unsafe");
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(c.caller().status).isEqualTo(200);
	}

	// Guards against refusals while open connections to the workers still work and only
	// new ones are refused.
	@Test
	void aWorkerThatStillRespondsIsNotUnreachable() {
		loseTheOtherVm();
		GatewayFixture.Call first = this.f.call("unsafe");
		this.f.workers.lastRun().respond(200, "fine");
		WorkerInfo w = this.f.workers.lastRun().call.worker();
		cutAll();
		Assertions.assertThat(first.caller().status).isEqualTo(200);
		this.plain.stream()
			.filter((p) -> p != w)
			.forEach((p) -> this.f.gateway.roster.entryRemoved(p.id(), this.f.timer.now()));
		this.f.call("unsafe");
		refuseLastRun();
		this.f.call("unsafe");
		this.f.workers.lastRun().respond(200, "fine");
		Assertions.assertThat(this.f.workers.runs).hasSize(3);
	}

	// Guards against a path that is taken for back because a tunnel worked.
	@Test
	void aResponseThroughAnotherVmIsNoContactOfThisOne() {
		WorkerInfo d = this.f.addWorker("d1", "llm", WorkerStage.DECODE);
		loseAll();
		cut(d);
		this.f.callWithPrompt("once", 3_000);
		this.f.workers.reservations.get(0).listener().onReserved("h");
		Assertions.assertThat(this.f.gateway.paths.tunnelVm(d)).isPresent();
	}

}
