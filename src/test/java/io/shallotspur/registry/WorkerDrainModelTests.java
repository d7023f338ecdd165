package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

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
 * Goes through all orders, up to a length, in which a worker leaves or is removed, the
 * store is away for a moment or for long enough that entries lapse, a VM is cut off from
 * it, it comes back from an older copy, a configuration is published and time passes.
 * <p>
 * A worker leaves around an outage and a VM that hears of it late goes on sending it
 * requests. None may reach it later than the bound after its leaving, and a worker that
 * stays may not be given up by a VM that reaches the store whenever it is there.
 */
class WorkerDrainModelTests {

	private static final int LENGTH = 5;

	private static final long LEAVES_MS = 2_000;

	// VMs are held to the bound once they and the store were left alone for so long, ms.
	private static final long CALM_MS = 3_000;

	// A VM that stands by asks a store that is away so often; it cannot tell more closely
	// when the store was back, ms.
	private static final long STANDBY_RETRY_MS = 2_000;

	private static final long LOOK_MS = 100;

	private static final long TAIL_MS = 4_000;

	private int judged;

	@Test
	void aVmThatServesLeavesAWorkerAloneInTime() {
		explore(new ArrayList<>(), false);
		// Had no order a calm moment after the bound, the above would say nothing.
		Assertions.assertThat(this.judged).isPositive();
	}

	@Test
	void aVmThatStandsByLeavesAWorkerAloneInTime() {
		explore(new ArrayList<>(), true);
		Assertions.assertThat(this.judged).isPositive();
	}

	private void explore(List<Step> steps, boolean standsBy) {
		boolean left = steps.contains(Step.SAYS_IT_LEAVES) || steps.contains(Step.IS_REMOVED);
		if (steps.size() == LENGTH) {
			if (left) {
				play(steps, standsBy);
			}
			return;
		}
		for (Step s : Step.values()) {
			boolean leaves = s == Step.SAYS_IT_LEAVES || s == Step.IS_REMOVED;
			if (!(leaves && left)) {
				steps.add(s);
				explore(steps, standsBy);
				steps.remove(steps.size() - 1);
			}
		}
	}

	private void play(List<Step> steps, boolean standsBy) {
		World w = new World(standsBy);
		steps.forEach(w::take);
		w.pass(TAIL_MS);
		Assertions.assertThat(w.faults).as("%s stands-by=%s", steps, standsBy).isEmpty();
		this.judged += w.judged;
	}

	/** What can happen next. */
	private enum Step {

		/** Less than a second passes. */
		WAIT,

		/** A configuration is published. */
		PUBLISH,

		/** A worker says that it leaves. */
		SAYS_IT_LEAVES,

		/** A worker leaves without a word: its entry is removed. */
		IS_REMOVED,

		/** The store is away for a moment. */
		STORE_BLINKS,

		/** The store is away until the entries of living workers have lapsed. */
		STORE_AWAY,

		/** The VM is cut off from the store. */
		CUT_OFF,

		/** The store comes back from a copy of a second ago. */
		RESTORED

	}

	/**
	 * One VM, the store, a worker that leaves and one that stays. Not thread-safe.
	 */
	private static final class World {

		private final ManualTimer timer = new ManualTimer();

		private final SimulatedStore store = new SimulatedStore(this.timer);

		private final List<String> faults = new ArrayList<>();

		private final Gateway gateway = new Gateway(new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000),
				new GatewayPorts(new NopWorkers(), this.timer, this.timer::now, this.timer::now, () -> 0.5,
						new DecisionLog(0), new RelayMetrics(new MetricRegistry())));

		private SimulatedStore.Copy copy;

		private @Nullable RegistryChange leaver = worker("leaver", false);

		private long version = 1;

		private long leftAt = Long.MAX_VALUE;

		private long disturbedAt = Long.MIN_VALUE / 2;

		private boolean leftInCalm;

		private int judged;

		private final long mayGiveUpMs;

		private long givenUpMs;

		// From then on the VM may not have heard that the worker that stays wrote again.
		private boolean wasCutOff;

		private final RegistryWatcher follower;

		private World(boolean standsBy) {
			this.mayGiveUpMs = standsBy ? STANDBY_RETRY_MS : 0;
			this.follower = new RegistryWatcher(this.store, this.gateway, this.timer, this.timer::now, () -> 0.5,
					new ChangeDeadlines(LEAVES_MS, LEAVES_MS));
			for (String vm : List.of("vms/a", "vms/b", "vms/own")) {
				double cores = (standsBy == vm.equals("vms/own")) ? 1 : 2;
				this.store.put(vm,
						new RegistryChange.VmUpdated(new EntryVm(vm, vm + ":80", "region-1", "hall-a", cores, false)));
			}
			this.gateway.entryVms().registerSelf(new EntryVm("vms/own", "vms/own:80", "region-1", "hall-a", standsBy ? 1 : 2, false));
			this.store.put("servers/stayer", worker("stayer", false));
			this.store.put("servers/leaver", worker("leaver", false));
			this.store.put("eras/settled", new RegistryChange.EraSettled(1));
			publish();
			this.copy = this.store.copy();
			this.follower.start();
			renew();
			pass(CALM_MS);
		}

		private void renew() {
			this.timer.schedule(1_000, () -> {
				this.store.renewLease(1).subscribe((there) -> {
				}, (ex) -> this.follower.onCallUnanswered());
				renew();
			});
		}

		private static RegistryChange worker(String id, boolean leaving) {
			return new RegistryChange.WorkerUpdated(
					new WorkerInfo(id, "up", "10.0.0.1", 80, "hall-a", 6, WorkerStage.PLAIN, leaving, 0, 0));
		}

		private void take(Step s) {
			switch (s) {
				case WAIT -> pass(700);
				case PUBLISH -> publish();
				case SAYS_IT_LEAVES -> leaves(worker("leaver", true));
				case IS_REMOVED -> leaves(null);
				case STORE_BLINKS -> storeAway(300);
				case STORE_AWAY -> lapse();
				case CUT_OFF -> cutOff();
				case RESTORED -> restore();
			}
		}

		private void publish() {
			this.store.put("op/config", new RegistryChange.ConfigUpdated(
					new RouteTable(++this.version, List.of(), List.of(), IngressLimits.DEFAULT)));
		}

		private void leaves(@Nullable RegistryChange entry) {
			this.leaver = entry;
			this.leftAt = this.timer.now();
			this.leftInCalm = calm();
			writeLeaver();
		}

		private void writeLeaver() {
			if (this.leaver != null) {
				this.store.put("servers/leaver", this.leaver);
			}
			else {
				this.store.remove("servers/leaver", new RegistryChange.WorkerRemoved("leaver"));
			}
		}

		private void storeAway(long ms) {
			this.store.away(true);
			disturbed(ms);
			this.store.away(false);
		}

		private void lapse() {
			this.store.away(true);
			disturbed(3_500);
			this.store.remove("servers/stayer", new RegistryChange.WorkerRemoved("stayer"));
			this.store.remove("servers/leaver", new RegistryChange.WorkerRemoved("leaver"));
			disturbed(500);
			this.store.away(false);
			this.timer.schedule(900, this::writeAgain);
		}

		private void writeAgain() {
			this.store.put("servers/stayer", worker("stayer", false));
			writeLeaver();
		}

		private void cutOff() {
			this.wasCutOff = true;
			this.store.cut(true);
			disturbed(1_500);
			this.store.cut(false);
		}

		private void restore() {
			SimulatedStore.Copy c = this.copy;
			this.store.away(true);
			disturbed(200);
			this.store.restore(c);
			this.timer.schedule(1_500, this::writeAgain);
		}

		private void disturbed(long ms) {
			for (long end = this.timer.now() + ms; this.timer.now() < end;) {
				this.disturbedAt = this.timer.now() + LOOK_MS;
				pass(LOOK_MS);
			}
		}

		private boolean calm() {
			return this.timer.now() - this.disturbedAt >= CALM_MS;
		}

		// The copy of the store is about a second old when it is needed.
		private void pass(long ms) {
			for (long end = this.timer.now() + ms; this.timer.now() < end;) {
				this.timer.advance(Math.min(LOOK_MS, end - this.timer.now()));
				look();
			}
			if (ms >= 700 && calm()) {
				this.copy = this.store.copy();
			}
		}

		private void look() {
			long now = this.timer.now();
			List<String> used = this.gateway.roster().activeWorkers("up", now).stream().map(WorkerInfo::id).toList();
			this.givenUpMs = used.contains("stayer") ? 0 : this.givenUpMs + LOOK_MS;
			if (!this.wasCutOff && this.gateway.routeTable().isPresent() && this.givenUpMs > this.mayGiveUpMs) {
				this.faults.add("gave up the worker that stays at " + now);
			}
			if (this.leftInCalm && calm() && now > this.leftAt + LEAVES_MS) {
				this.judged++;
				if (used.contains("leaver")) {
					this.faults.add("uses the worker " + (now - this.leftAt) + " ms after it left");
				}
			}
		}

	}

}
