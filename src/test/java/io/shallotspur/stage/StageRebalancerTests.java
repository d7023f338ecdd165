package io.shallotspur.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.NopWorkers;
import io.shallotspur.gateway.OutputLengthModel;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.ChangeDeadlines;
import io.shallotspur.registry.FakeRegistry;
import io.shallotspur.registry.Leadership;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.RegistryUpdate;
import io.shallotspur.registry.RegistryWatcher;
import io.shallotspur.registry.StorePosition;
import io.shallotspur.registry.VmRegistration;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.UpstreamSpec;

/**
 * Tests of {@link StageRebalancer} and {@link StageChangeTask}: three workers that prefill and
 * three that decode, of which one too many prefills.
 */
class StageRebalancerTests {

	private static final String SELF = "vms/me";

	private static final long FENCE = 40;

	// A VM that stands by gathers changes for 1 s, and a slow store takes a while, ms.
	private static final long STANDBY_FETCH_MS = 1_200;

	private static final ChangeDeadlines BOUNDS = new ChangeDeadlines(2_000, 2_000);

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	private final FakeStagePort port = new FakeStagePort();

	private final Gateway gateway = new Gateway(new GatewaySettings("vm-1", "hall-a", 0.2, 50, 10_000),
			new GatewayPorts(new NopWorkers(), this.timer, this.timer::now, this.timer::now, () -> 0.5,
					new DecisionLog(0), new RelayMetrics(new MetricRegistry())));

	private final RegistryWatcher follower = new RegistryWatcher(this.registry, this.gateway, this.timer,
			this.timer::now, () -> 0.5, BOUNDS);

	@BeforeEach
	void start() {
		heard(12);
		EntryVm self = new EntryVm(SELF, "10.0.0.9:80", "region-1", "hall-a", 1, false);
		VmRegistration registration = new VmRegistration(this.registry, self, this.timer);
		Leadership duty = new Leadership(this.registry, registration, this.gateway.entryVms(), SELF, 3_000,
				this.timer::now);
		StageRebalancer keeper = new StageRebalancer("vm-1", this.gateway, duty, this.port, this.timer, this.timer::now,
				BOUNDS.propagationMs());
		this.registry.leader = new RegistryChange.LeaderElected(SELF, new StorePosition(0, FENCE));
		this.registry.listings.add(new RegistryUpdate(new StorePosition(0, 50), listing()));
		this.follower.setOwnRegistration(SELF, () -> {
		});
		this.follower.setLeadership(duty);
		this.follower.start();
		registration.start();
		keeper.start();
	}

	private void heard(int samples) {
		this.gateway.engineTimes("llm")
			.setSharedStatistics(
					new EngineStatistics(samples, 3_200, 500, 4_000, 0.0323, 0.0323, 7, OutputLengthModel.PRIOR));
	}

	private List<RegistryChange> listing() {
		EngineSpec engine = new EngineSpec(48, 42_411, 327_680, 3_300_000, 500, 2_000, 12);
		List<RegistryChange> l = new ArrayList<>();
		l.add(new RegistryChange.ConfigUpdated(
				new RouteTable(1, List.of(), List.of(new UpstreamSpec("llm", 100, engine)), IngressLimits.DEFAULT)));
		l.add(new RegistryChange.LeaderElected(SELF, new StorePosition(0, FENCE)));
		for (String hall : List.of("a", "b", "c")) {
			l.add(new RegistryChange.WorkerUpdated(worker("p-" + hall, hall, WorkerStage.PREFILL)));
			l.add(new RegistryChange.WorkerUpdated(worker("d-" + hall, hall, WorkerStage.DECODE)));
		}
		return l;
	}

	private static WorkerInfo worker(String id, String hall, WorkerStage stage) {
		return new WorkerInfo(id, "llm", "10.0.1.1", 80, hall, 48, stage, false, 0, 0);
	}

	// Six workers of which three prefill and are a quarter busy, while callers wait for
	// memory at the other three.
	@Test
	void hasOnePrefillWorkerChangeOver() {
		this.timer.advance(8_000);
		Assertions.assertThat(this.port.orders).hasSize(1);
		StageOrder o = this.port.orders.get(0);
		Assertions.assertThat(o.stage()).isEqualTo(WorkerStage.DECODE);
		Assertions.assertThat(o.worker().stage()).isEqualTo(WorkerStage.PREFILL);
		Assertions.assertThat(o.fencingToken()).isEqualTo(FENCE);
		Assertions.assertThat(o.holder()).isEqualTo("vm-1");
		Assertions.assertThat(this.registry.announcedStages).isEqualTo(Map.of(o.worker().id(), WorkerStage.DECODE));
		this.port.done(o.worker().id(), WorkerStage.DECODE);
		seen(worker(o.worker().id(), "a", WorkerStage.DECODE));
		this.timer.advance(60_000);
		Assertions.assertThat(this.port.orders).hasSize(1);
	}

	// VMs that stand by fetch changes seconds later. One that has not heard would go on
	// sending prompts to a worker that turns them away, and some have no second try.
	@Test
	void givesTheOrderOnceEachVmHasHeardOfIt() {
		advanceUntil(() -> !this.registry.announcedStages.isEmpty());
		long announced = this.timer.now();
		advanceUntil(() -> !this.port.orders.isEmpty());
		Assertions.assertThat(this.timer.now() - announced).isGreaterThanOrEqualTo(STANDBY_FETCH_MS);
	}

	private void advanceUntil(BooleanSupplier done) {
		for (int ms = 0; ms < 20_000 && !done.getAsBoolean(); ms += 10) {
			this.timer.advance(10);
		}
	}

	// Nothing is known of the load yet. A worker that changes over is away for seconds,
	// and may have been right where it was.
	@Test
	void givesNoOrderBeforeTheLoadHasBeenSeen() {
		heard(1);
		this.timer.advance(60_000);
		Assertions.assertThat(this.port.orders).isEmpty();
	}

	// A prefill worker crashes and is back within seconds. Were another one sent to
	// prefill meanwhile, the decode workers would be one short from then on.
	@Test
	void leavesTheWorkersAsTheyAreWhileOneIsAway() {
		this.timer.advance(4_000);
		this.gateway.roster().entryRemoved("d-a", this.timer.now());
		this.timer.advance(4_000);
		Assertions.assertThat(this.port.orders).isEmpty();
		this.timer.advance(6_000);
		Assertions.assertThat(this.port.orders).isNotEmpty();
	}

	// An order got no answer, and the worker has started again since. It counts its
	// orders anew, so the next order for the same count could be taken beside the first
	// one, which may still come.
	@Test
	void givesNoOrderAgainToAWorkerThatHasStartedAgain() {
		this.port.losesOrders = true;
		this.port.startedAt = 100;
		this.timer.advance(7_200);
		Assertions.assertThat(this.port.orders).hasSize(1);
		this.port.startedAt = 200;
		this.timer.advance(2_000);
		Assertions.assertThat(this.port.orders).hasSize(1);
		Assertions.assertThat(this.registry.announcedStages).isEmpty();
		this.timer.advance(5_000);
		Assertions.assertThat(this.port.orders.subList(1, this.port.orders.size()))
			.extracting((o) -> o.worker().id())
			.doesNotContain("p-a");
	}

	// The worker that was to change over crashes. While it was waited for, prefill
	// workers stood idle beside full decode workers for the rest of the burst.
	@Test
	void hasAnotherWorkerChangeOverWhenOneIsLost() {
		this.port.silent.add("p-a");
		this.timer.advance(20_000);
		Assertions.assertThat(this.port.orders).extracting((o) -> o.worker().id()).containsExactly("p-b");
	}

	// The former holder may have sent an order just before it died.
	@Test
	void waitsForItsTurn() {
		this.timer.advance(4_000);
		Assertions.assertThat(this.port.orders).isEmpty();
	}

	// The order was accepted and its answer lost. Given again at once it would be a
	// second order, and one of the two could undo a later one.
	@Test
	void readsBackAnOrderWhoseAnswerWasLost() {
		this.port.losesAnswers = true;
		this.timer.advance(30_000);
		Assertions.assertThat(this.port.orders).hasSize(1);
	}

	// The order was lost on its way, or is still under way. It is given again with the
	// same number of accepted orders, so that the worker takes one of them only.
	@Test
	void givesALostOrderAgainForTheSameCount() {
		this.port.losesOrders = true;
		this.timer.advance(30_000);
		Assertions.assertThat(this.port.orders.size()).isBetween(2, 9);
		Assertions.assertThat(this.port.orders).allMatch((o) -> o.expectedOrderCount() == 0);
	}

	// An order without effect: the worker prefills as before, and if it stayed announced
	// nobody would use it any more.
	@Test
	void withdrawsTheAnnouncementOfAWorkerThatStaysAsItIs() {
		this.port.result = OrderResult.REFUSED;
		this.timer.advance(8_000);
		Assertions.assertThat(this.port.orders).hasSize(1);
		Assertions.assertThat(this.registry.announcedStages).isEmpty();
	}

	// The VM was paused after it had announced a change, and another has taken over the
	// duty meanwhile.
	@Test
	void givesNoOrderOnceAnotherHoldsTheDuty() {
		this.timer.advance(5_100);
		Assertions.assertThat(this.registry.announcedStages).hasSize(1);
		Assertions.assertThat(this.port.orders).isEmpty();
		this.registry.leader = new RegistryChange.LeaderElected("vms/other", new StorePosition(0, FENCE + 5));
		this.timer.advance(20_000);
		Assertions.assertThat(this.port.orders).isEmpty();
	}

	@Test
	void givesNoOrderWithoutTheStore() {
		this.timer.advance(5_100);
		this.registry.leader = null;
		this.timer.advance(20_000);
		Assertions.assertThat(this.port.orders).isEmpty();
	}

	private void seen(WorkerInfo w) {
		this.gateway.roster().updateEntry(w, this.timer.now());
	}

}
