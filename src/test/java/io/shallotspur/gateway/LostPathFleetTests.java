package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of a fleet whose VMs lose paths to workers at random, in virtual time.
 */
class LostPathFleetTests {

	// From then on, callers of a VM with lost paths must be served nearly as well as
	// those of others.
	private static final long REACTION_MS = 3_000;

	private static final long CALL_INTERVAL_MS = 20;

	private final List<FakeCaller> callers = new ArrayList<>();

	// Calls at each VM that matches.
	private void callFor(SimulatedPaths net, long ms, Predicate<SimulatedPaths.Vm> at) {
		for (long end = net.timer.now() + ms; net.timer.now() < end;) {
			net.vms.stream().filter(at).forEach((vm) -> this.callers.add(vm.call("unsafe")));
			net.timer.advance(CALL_INTERVAL_MS);
		}
	}

	private double servedShare(SimulatedPaths net) {
		net.timer.advance(2_000);
		Assertions.assertThat(this.callers).allMatch((c) -> c.responseCount == 1);
		double served = this.callers.stream().filter((c) -> c.status == 200).count();
		double share = served / this.callers.size();
		this.callers.clear();
		return share;
	}

	private static void cutAll(SimulatedPaths net, int vms, SimulatedPaths.Cut how) {
		net.vms.subList(0, vms).forEach((vm) -> net.workers.forEach((w) -> net.cut(vm, w, how)));
	}

	private static boolean isCut(SimulatedPaths net, SimulatedPaths.Vm vm) {
		return net.workers.stream().noneMatch((w) -> net.reaches(vm, w));
	}

	// Guards against VMs that refuse all callers while one other VM reaches the workers,
	// however many have lost their paths.
	@ParameterizedTest
	@CsvSource({ "8,1,REFUSED", "8,3,HANGS", "8,7,REFUSED", "8,7,HANGS", "40,30,HANGS", "40,30,REFUSED" })
	void vmsWithoutPathsServeLikeTheOthers(int vms, int cut, SimulatedPaths.Cut how) {
		SimulatedPaths net = new SimulatedPaths(vms, 6, 1);
		callFor(net, 1_000, (vm) -> true);
		Assertions.assertThat(servedShare(net)).isEqualTo(1);
		cutAll(net, cut, how);
		callFor(net, REACTION_MS, (vm) -> true);
		servedShare(net);
		callFor(net, 4_000, (vm) -> isCut(net, vm));
		Assertions.assertThat(servedShare(net)).isGreaterThan(0.98);
		net.vms.forEach(net::heal);
		callFor(net, REACTION_MS, (vm) -> true);
		Assertions.assertThat(servedShare(net)).isGreaterThan(0.98);
		for (SimulatedPaths.Vm vm : net.vms) {
			Assertions.assertThat(net.workers).allMatch((w) -> vm.gateway.paths().tunnelVm(w).isEmpty());
		}
	}

	// Guards against VMs that let callers wait, or take an outage of all workers for lost
	// paths of their own.
	@Test
	void withoutAnyPathAllAreRefusedAtOnce() {
		SimulatedPaths net = new SimulatedPaths(8, 6, 1);
		cutAll(net, 8, SimulatedPaths.Cut.HANGS);
		callFor(net, REACTION_MS, (vm) -> true);
		this.callers.clear();
		callFor(net, 200, (vm) -> true);
		Assertions.assertThat(this.callers)
			.allMatch((c) -> c.refusal != null && c.refusal.reason() == RefusalReason.WORKERS_UNREACHABLE);
		net.vms.forEach(net::heal);
		net.timer.advance(1_500);
		this.callers.clear();
		callFor(net, 1_000, (vm) -> true);
		Assertions.assertThat(servedShare(net)).isEqualTo(1);
	}

	// Guards against callers that are not served after the VM in between has ended
	// without a word.
	@Test
	void anotherVmTakesTheTunnelsOfOneThatHasEnded() {
		SimulatedPaths net = new SimulatedPaths(8, 6, 1);
		cutAll(net, 3, SimulatedPaths.Cut.HANGS);
		callFor(net, REACTION_MS, (vm) -> true);
		this.callers.clear();
		net.end(net.vms.get(7), 3_000);
		net.end(net.vms.get(6), 3_000);
		callFor(net, 1_500, (vm) -> isCut(net, vm));
		this.callers.clear();
		callFor(net, 3_000, (vm) -> isCut(net, vm));
		Assertions.assertThat(servedShare(net)).isGreaterThan(0.98);
	}

	// Guards against requests that run twice, are never answered or are refused as not
	// run although they have run, while paths come and go.
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void requestsRunOnceWhilePathsComeAndGo(long seed) {
		SimulatedPaths net = new SimulatedPaths(6, 5, seed);
		for (int i = 0; i < 60; i++) {
			SimulatedPaths.Vm vm = net.vms.get(net.random.nextInt(net.vms.size()));
			if (net.random.nextInt(3) == 0) {
				net.heal(vm);
			}
			else {
				SimulatedPaths.Cut how = net.random.nextBoolean() ? SimulatedPaths.Cut.HANGS
						: SimulatedPaths.Cut.REFUSED;
				net.workers.stream().filter((w) -> net.random.nextInt(3) > 0).forEach((w) -> net.cut(vm, w, how));
			}
			callFor(net, net.random.nextInt(600), (x) -> true);
		}
		net.timer.advance(2_000);
		Assertions.assertThat(net.runs.values()).allMatch((n) -> n == 1);
		Assertions.assertThat(this.callers).allMatch((c) -> c.responseCount == 1);
		net.callers.forEach((id, caller) -> Assertions.assertThat(caller.status)
			.isNotEqualTo(net.runs.containsKey(id) ? RelayRefusal.NOT_RUN : 200));
		net.vms.forEach(net::heal);
		callFor(net, REACTION_MS, (x) -> true);
		this.callers.clear();
		callFor(net, 1_000, (x) -> true);
		Assertions.assertThat(servedShare(net)).isEqualTo(1);
	}

}
