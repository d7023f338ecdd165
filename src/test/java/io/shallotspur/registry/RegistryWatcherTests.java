package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.exc.StoreHistoryGoneException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.NopWorkers;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.RouteTable;

/**
 * Tests of {@link RegistryWatcher}.
 */
class RegistryWatcherTests {

	private static final long LEAVE_MS = 2_000;

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	private final Gateway gateway = new Gateway(new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000),
			new GatewayPorts(new NopWorkers(), this.timer, this.timer::now, this.timer::now, () -> 0.5,
					new DecisionLog(0), new RelayMetrics(new MetricRegistry())));

	private final RegistryWatcher follower = new RegistryWatcher(this.registry, this.gateway, this.timer,
			this.timer::now, () -> 0.5, new ChangeDeadlines(LEAVE_MS, 3_000));

	private static RegistryChange worker(String id) {
		return new RegistryChange.WorkerUpdated(
				new WorkerInfo(id, "up", "10.0.0.1", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 0));
	}

	private static RegistryChange config(long version) {
		return new RegistryChange.ConfigUpdated(new RouteTable(version, List.of(), List.of(), IngressLimits.DEFAULT));
	}

	private int workers() {
		return this.gateway.roster().size(this.timer.now());
	}

	private void follow(RegistryChange... changes) {
		this.registry.listings.add(new RegistryUpdate(new StorePosition(0, 10), List.of(changes)));
		this.follower.start();
	}

	private void tell(long revision, RegistryChange... changes) {
		this.registry.pendingWatch.tryEmitValue(new RegistryUpdate(new StorePosition(0, revision), List.of(changes)));
	}

	private void lose() {
		this.registry.pendingWatch.tryEmitError(new StoreUnavailableException("away", "test"));
	}

	@Test
	void takesTheListingAndWatchesFromThere() {
		follow(config(3), worker("w1"));
		Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(3);
		Assertions.assertThat(workers()).isEqualTo(1);
		Assertions.assertThat(this.registry.watchedAfter).containsExactly(10L);
		Assertions.assertThat(this.follower.initialized()).isTrue();
	}

	// Many workers start at once. A watch for each of their entries would be billed as a
	// call each.
	@Test
	void gathersChangesThatComeTogether() {
		follow(config(3));
		tell(11, worker("w1"));
		Assertions.assertThat(this.registry.watchedAfter).hasSize(1);
		this.timer.advance(200);
		Assertions.assertThat(this.registry.watchedAfter).containsExactly(10L, 11L);
	}

	// A hundred VMs fetch each change a hundred times.
	@Test
	void gathersForLongerInALargeFleet() {
		RegistryChange[] vms = new RegistryChange[100];
		for (int i = 0; i < vms.length; i++) {
			vms[i] = new RegistryChange.VmUpdated(
					new EntryVm("vms/" + i, "10.0.1." + i + ":80", "region-1", "hall-a", 1, false));
		}
		follow(vms);
		tell(11, worker("w1"));
		this.timer.advance(450);
		Assertions.assertThat(this.registry.watchedAfter).hasSize(1);
		this.timer.advance(100);
		Assertions.assertThat(this.registry.watchedAfter).containsExactly(10L, 11L);
	}

	// Ninety of a hundred VMs stand by. If each fetched each change as soon as those that
	// serve, nine in ten of the store's calls would be for nobody.
	@Test
	void gathersForLongerWhileItStandsBy() {
		this.gateway.entryVms().registerSelf(vm("vms/weak", 1).vm());
		follow(vm("vms/strong-1", 2), vm("vms/strong-2", 2), vm("vms/weak", 1));
		tell(11, worker("w1"));
		this.timer.advance(950);
		Assertions.assertThat(this.registry.watchedAfter).hasSize(1);
		this.timer.advance(100);
		Assertions.assertThat(this.registry.watchedAfter).containsExactly(10L, 11L);
	}

	// The store turns a VM away that stands by, for seconds. Each of its calls is billed,
	// and nobody waits for what it would hear.
	@Test
	void asksLessOftenWhileItStandsByAndTheStoreIsAway() {
		this.gateway.entryVms().registerSelf(vm("vms/weak", 1).vm());
		follow(vm("vms/strong-1", 2), vm("vms/strong-2", 2), vm("vms/weak", 1));
		for (int i = 0; i < 200; i++) {
			lose();
			this.timer.advance(50);
		}
		Assertions.assertThat(this.registry.watchedAfter).hasSizeBetween(5, 12);
	}

	private static RegistryChange.VmUpdated vm(String key, double cores) {
		return new RegistryChange.VmUpdated(new EntryVm(key, key + ":80", "region-1", "hall-a", cores, false));
	}

	@Test
	void aWorkerWhoseEntryIsGoneGetsNothingMore() {
		follow(worker("w1"));
		tell(11, new RegistryChange.WorkerRemoved("w1"));
		Assertions.assertThat(workers()).isZero();
	}

	// The store is away and the entries of living workers lapse. Taken as gone, no
	// request could be served until the workers have written their entries again.
	@Test
	void entriesThatLapsedWhileTheStoreWasAwayAreWaitedFor() {
		follow(worker("w1"));
		lose();
		this.timer.advance(400);
		tell(20, new RegistryChange.WorkerRemoved("w1"));
		Assertions.assertThat(workers()).isEqualTo(1);
		this.timer.advance(LEAVE_MS);
		Assertions.assertThat(workers()).isZero();
	}

	// Requests reach a worker that has left, long after all VMs had to know it.
	@Test
	void aWorkerThatLeavesAfterTheStoreIsBackGetsNothingOnceItsTimeIsUp() {
		this.gateway.entryVms().registerSelf(vm("vms/weak", 1).vm());
		follow(config(3), vm("vms/strong-1", 2), vm("vms/strong-2", 2), vm("vms/weak", 1), worker("w1"));
		lose();
		this.timer.advance(400);
		tell(20);
		this.timer.advance(2_500);
		tell(21, config(4));
		this.timer.advance(280);
		long left = this.timer.now();
		this.timer.advance(720);
		tell(22, new RegistryChange.WorkerRemoved("w1"));
		this.timer.advance(LEAVE_MS - (this.timer.now() - left));
		Assertions.assertThat(workers()).isZero();
	}

	@Test
	void anEntryThatComesBackInTimeKeepsItsWorker() {
		follow(worker("w1"));
		lose();
		this.timer.advance(400);
		tell(20, new RegistryChange.WorkerRemoved("w1"));
		this.timer.advance(400);
		tell(21, worker("w1"));
		this.timer.advance(10_000);
		Assertions.assertThat(workers()).isEqualTo(1);
	}

	// The store has dropped its history while this VM could not watch. Changes in the gap
	// would be missed for good unless all is read again.
	@Test
	void readsAllAgainWhenTheHistoryIsGone() {
		follow(config(3), worker("w1"), worker("w2"));
		this.registry.listings.add(new RegistryUpdate(new StorePosition(0, 30), List.of(config(4), worker("w2"))));
		this.registry.pendingWatch.tryEmitError(new StoreHistoryGoneException("gone", "10"));
		Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(4);
		Assertions.assertThat(workers()).isEqualTo(1);
		Assertions.assertThat(this.registry.watchedAfter).endsWith(30L);
	}

	// The store falls silent while a watch waits there, and comes back without it. The
	// watch would wait on for its whole time, and a configuration that is published
	// meanwhile would be unknown here.
	@Test
	void asksAgainWhenAnotherCallIsNotAnswered() {
		follow(config(3));
		Assertions.assertThat(this.registry.watchedAfter).hasSize(1);
		this.follower.onCallUnanswered();
		Assertions.assertThat(this.follower.storeUnavailable()).isTrue();
		this.timer.advance(300);
		Assertions.assertThat(this.registry.watchedAfter).hasSize(2);
		Assertions.assertThat(this.registry.lastWaitMs).isZero();
		tell(12, config(4));
		Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(4);
	}

	// Each of many renewals that fail while nothing waits would begin a chain of calls of
	// its own.
	@Test
	void asksOnceHoweverOftenTheStoreIsDoubted() {
		follow(config(3));
		this.follower.onCallUnanswered();
		this.follower.onCallUnanswered();
		this.timer.advance(300);
		this.follower.onCallUnanswered();
		this.timer.advance(1_000);
		Assertions.assertThat(this.registry.watchedAfter).hasSize(2);
	}

	@Test
	void keepsWhatItKnowsWhileTheStoreIsAway() {
		follow(config(3), worker("w1"));
		lose();
		for (int i = 0; i < 20; i++) {
			this.timer.advance(500);
			lose();
		}
		Assertions.assertThat(this.gateway.routeTable()).isPresent();
		Assertions.assertThat(workers()).isEqualTo(1);
		Assertions.assertThat(this.registry.watchedAfter).hasSizeBetween(8, 21);
	}

	// The store drops this VM's registration (it was taken for dead). Callers would no
	// longer be sent here although it serves.
	@Test
	void tellsWhenTheOwnRegistrationIsGone() {
		AtomicInteger gone = new AtomicInteger();
		this.follower.setOwnRegistration("vms/me", gone::incrementAndGet);
		follow(config(3),
				new RegistryChange.VmUpdated(new EntryVm("vms/me", "10.0.0.9:80", "region-1", "hall-a", 1, false)));
		tell(11, new RegistryChange.VmRemoved("vms/me"));
		Assertions.assertThat(gone).hasValue(1);
		Assertions.assertThat(this.gateway.entryVms().count(this.timer.now())).isEqualTo(1);
	}

	// The store goes silent and returns. A call that was to wait for seconds was lost
	// with it: a route that the operator had added meanwhile was refused as unknown
	// until that call's time was up.
	@Test
	void asksWithoutWaitingUntilTheStoreIsBack() {
		follow(config(3));
		Assertions.assertThat(this.registry.lastWaitMs).isPositive();
		lose();
		this.timer.advance(1_000);
		Assertions.assertThat(this.registry.lastWaitMs).isZero();
		tell(11);
		Assertions.assertThat(this.registry.lastWaitMs).isPositive();
	}

	// Another program writes over a worker's entry, or leaves one beside it. Whatever
	// stood there names no worker now, and the others are not touched by it.
	@Test
	void anEntryThatCannotBeReadNamesNoWorker() {
		follow(config(3), worker("w1"), worker("w2"));
		tell(11, new RegistryChange.EntryUnreadable("servers/w1", "w1", "The entry is not an object."));
		Assertions.assertThat(workers()).isEqualTo(1);
		this.timer.advance(1_000);
		tell(12, worker("w1"));
		Assertions.assertThat(workers()).isEqualTo(2);
	}

	@Test
	void aListingWithAnEntryThatCannotBeReadStaysWhole() {
		follow(config(3), new RegistryChange.EntryUnreadable("servers/w0", "w0", "The value is not JSON."), worker("w1"),
				new RegistryChange.EntryUnreadable("op/config", null, "The value is not JSON."));
		Assertions.assertThat(workers()).isEqualTo(1);
		Assertions.assertThat(this.gateway.routeTable()).isPresent();
	}

	// A connection to the store was reset and made again at once. Four seconds later
	// another VM loses power. Were it kept for as long as one whose registration lapsed
	// while the store was away, callers would be sent to it for five seconds more.
	@Test
	void aVmThatDiesSomeTimeAfterTheStoreWasBackIsSoonForgotten() {
		this.follower.setOwnRegistration("vms/me", () -> {
		});
		follow(config(3),
				new RegistryChange.VmUpdated(new EntryVm("vms/other", "10.0.0.9:80", "region-1", "hall-a", 1, false)));
		lose();
		this.timer.advance(400);
		tell(20);
		this.timer.advance(4_000);
		tell(21, new RegistryChange.VmRemoved("vms/other"));
		this.timer.advance(1_000);
		Assertions.assertThat(this.gateway.entryVms().count(this.timer.now())).isZero();
	}

	private static RegistryChange leaving(String id) {
		return new RegistryChange.WorkerUpdated(
				new WorkerInfo(id, "up", "10.0.0.1", 80, "hall-a", 6, WorkerStage.PLAIN, true, 0, 0));
	}

	private List<String> staying() {
		return this.gateway.roster().activeWorkers("up", this.timer.now()).stream().map(WorkerInfo::id).toList();
	}

	private void restore(long revision, RegistryChange... changes) {
		this.registry.listings.add(new RegistryUpdate(new StorePosition(1, revision), List.of(changes)));
		this.registry.restore();
		this.timer.advance(20);
	}

	// Revisions go back with the store. A watch that went on from the one that was known
	// would wait for what lies ahead of the store, and hear nothing until then.
	@Test
	void readsAllAnewWhenTheStoreWasRestored() {
		follow(config(3), worker("w1"));
		tell(90, config(4));
		this.timer.advance(200);
		restore(40, config(3), worker("w1"));
		Assertions.assertThat(this.registry.watchedAfter).endsWith(40L);
		Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(4);
		tell(41, config(5));
		Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(5);
	}

	// The copy shows a worker as it was before it said that it leaves. Requests would
	// reach it while it exits.
	@Test
	void aWorkerThatLeavesStaysSoWhenTheStoreWasRestored() {
		follow(config(3), worker("w1"), worker("w2"));
		tell(11, leaving("w1"));
		this.timer.advance(200);
		restore(9, config(3), worker("w1"), worker("w2"));
		Assertions.assertThat(staying()).containsExactly("w2");
		tell(10, leaving("w1"));
		this.timer.advance(3_000);
		Assertions.assertThat(staying()).containsExactly("w2");
	}

	// The copy brings back the entry of a worker that is gone. It is used again only if
	// it is still there once workers have had the time to write.
	@Test
	void aWorkerThatIsGoneStaysSoUntilTheStoreHasSettled() {
		follow(config(3), worker("w1"), worker("w2"));
		tell(11, new RegistryChange.WorkerRemoved("w1"));
		this.timer.advance(200);
		restore(9, config(3), worker("w1"), worker("w2"));
		Assertions.assertThat(staying()).containsExactly("w2");
		this.registry.listings
			.add(new RegistryUpdate(new StorePosition(1, 30), List.of(config(3), worker("w1"), worker("w2"))));
		this.timer.advance(3_000);
		Assertions.assertThat(staying()).containsExactlyInAnyOrder("w1", "w2");
	}

	// The copy is from before a worker came. Taken as gone, it would get nothing until it
	// has written its entry again.
	@Test
	void aWorkerThatTheCopyLacksIsWaitedFor() {
		follow(config(3), worker("w1"));
		tell(11, worker("w2"));
		this.timer.advance(200);
		restore(9, config(3), worker("w1"));
		Assertions.assertThat(staying()).containsExactlyInAnyOrder("w1", "w2");
		tell(10, worker("w2"));
		this.timer.advance(10_000);
		Assertions.assertThat(staying()).containsExactlyInAnyOrder("w1", "w2");
	}

	@Test
	void aWorkerThatTheCopyLacksIsGoneIfItDoesNotWriteAgain() {
		follow(config(3), worker("w1"));
		tell(11, worker("w2"));
		this.timer.advance(200);
		restore(9, config(3), worker("w1"));
		this.timer.advance(3_000);
		Assertions.assertThat(staying()).containsExactly("w1");
	}

	// The store comes back from a copy again while the first return has not settled.
	@Test
	void settlesOnceAfterSeveralReturns() {
		follow(config(3), worker("w1"), worker("w2"));
		tell(11, leaving("w1"));
		this.timer.advance(200);
		restore(9, config(3), worker("w1"), worker("w2"));
		this.timer.advance(1_500);
		this.registry.listings
			.add(new RegistryUpdate(new StorePosition(2, 7), List.of(config(3), worker("w1"), worker("w2"))));
		this.registry.restore();
		this.timer.advance(1_500);
		Assertions.assertThat(staying()).containsExactly("w2");
		this.registry.listings.add(new RegistryUpdate(new StorePosition(2, 20), List.of(config(3), worker("w2"))));
		this.timer.advance(1_500);
		Assertions.assertThat(staying()).containsExactly("w2");
		Assertions.assertThat(this.registry.settledEras).containsExactly(2L);
	}

	// A return is noticed while a pause runs in which changes are gathered. If the call
	// after the pause were made as well, two chains of calls would go on from then.
	@Test
	void followsInOneChainOfCallsAfterARestore() {
		follow(config(3));
		tell(11, config(4));
		restore(9, config(3));
		this.timer.advance(2_000);
		Assertions.assertThat(this.registry.watchedAfter).containsExactly(10L, 9L);
	}

	// A VM starts right after a return. It cannot know that what the store shows is old
	// unless it finds that no VM has seen this era settle.
	@Test
	void aVmThatStartsTakesTheStoreAsUnsettledUntilAVmHasToldSo() {
		List<Long> outdated = new ArrayList<>();
		this.follower.setStaleDataListener(outdated::add);
		this.registry.listings
			.add(new RegistryUpdate(new StorePosition(3, 10), List.of(config(3), new RegistryChange.EraSettled(2))));
		this.registry.listings.add(new RegistryUpdate(new StorePosition(3, 12), List.of(config(3))));
		this.follower.start();
		Assertions.assertThat(outdated).hasSize(1);
		this.timer.advance(3_000);
		Assertions.assertThat(this.registry.settledEras).containsExactly(3L);
	}

	@Test
	void aVmThatStartsTrustsAStoreThatHasSettled() {
		List<Long> outdated = new ArrayList<>();
		this.follower.setStaleDataListener(outdated::add);
		this.registry.listings
			.add(new RegistryUpdate(new StorePosition(3, 10), List.of(config(3), new RegistryChange.EraSettled(3))));
		this.follower.start();
		this.timer.advance(3_000);
		Assertions.assertThat(outdated).isEmpty();
		Assertions.assertThat(this.registry.settledEras).isEmpty();
	}

	// Hundreds of VMs notice the return in the same moment. Were they all to list and
	// register at once, the store would turn most of them away.
	@Test
	void waitsItsTurnInALargeFleetAfterARestore() {
		RegistryChange[] vms = new RegistryChange[400];
		for (int i = 0; i < vms.length; i++) {
			vms[i] = vm("vms/" + i, 1);
		}
		List<Long> spread = new ArrayList<>();
		this.follower.addRestoreListener(spread::add);
		follow(vms);
		this.registry.listings.add(new RegistryUpdate(new StorePosition(1, 9), List.of(config(4))));
		this.registry.restore();
		this.timer.advance(350);
		Assertions.assertThat(this.gateway.routeTable()).isEmpty();
		this.timer.advance(100);
		Assertions.assertThat(this.gateway.routeTable()).isPresent();
		Assertions.assertThat(spread).containsExactly(400L);
	}

}
