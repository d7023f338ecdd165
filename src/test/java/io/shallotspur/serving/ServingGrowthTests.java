package io.shallotspur.serving;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of how soon the serving VMs bear a load that rises. Callers keep connections and
 * addresses; VMs hear of announcements late.
 */
class ServingGrowthTests {

	private static final int STEP_MS = 10;

	private static final int STEPS_PER_SAMPLE = (int) OverloadDetector.SAMPLE_INTERVAL_MS / STEP_MS;

	// Time between a change of level and the answers to callers that show it, in
	// samples.
	private static final int ANNOUNCE_SAMPLES = 4;

	private static final int ADDRESS_TTL_STEPS = 1_000 / STEP_MS;

	// Processor time of a request; a request passes the event loop about ten times.
	private static final double REQUEST_MS = 4;

	private static final double LOOP_PASSES = 10;

	private static final int CALLERS = 300;

	private static final long BURST_MS = 10_000;

	private final Random random = new Random(5);

	private final List<Vm> vms = new ArrayList<>();

	private final List<Caller> callers = new ArrayList<>();

	private int step;

	private void start(int count, double cores) {
		IntStream.range(0, count).forEach((i) -> this.vms.add(new Vm(this.vms.size(), cores)));
	}

	// Simulates some time. Returns from when on the serving VMs need at most 85 % of
	// their cores for the load, in ms from the beginning.
	private long bearsFrom(long ms, LongToDoubleFunction requestsPerSecond) {
		IntStream.range(this.callers.size(), CALLERS).forEach((i) -> this.callers.add(new Caller()));
		long from = 0;
		for (long at = 0; at < ms; at += STEP_MS) {
			double perSecond = requestsPerSecond.applyAsDouble(at);
			double requests = perSecond * STEP_MS / 1_000 / CALLERS;
			this.callers.forEach((c) -> c.send(requests));
			this.vms.forEach(Vm::run);
			this.step++;
			double cores = serving().stream().mapToDouble(Candidate::cores).sum();
			from = (cores * 0.85 < perSecond * REQUEST_MS / 1_000) ? at + STEP_MS : from;
		}
		return from;
	}

	private List<Candidate> serving() {
		return ServingVmSelector.select(this.vms.stream().map(Vm::announced).toList());
	}

	private int changes() {
		return this.vms.stream().mapToInt((v) -> v.changes).sum();
	}

	// Two VMs of 0.12 cores carry 20 requests a second; then twice as many come as both
	// bear. VMs that are added one at a time have no callers before the burst is over.
	@Test
	void smallVmsBearABurst() {
		start(66, 0.12);
		Assertions.assertThat(bearsFrom(20_000, (t) -> 20)).isZero();
		Assertions.assertThat(serving()).hasSize(2);
		Assertions.assertThat(bearsFrom(BURST_MS, (t) -> 120)).isLessThan(4_000);
	}

	// All VMs lost power. None remembers how many served, and callers come at once.
	@Test
	void bearsAllCallersAfterARestart() {
		start(66, 0.12);
		Assertions.assertThat(bearsFrom(25_000, (t) -> 300)).isLessThan(10_000);
	}

	// The largest VMs serve first. The others count by their cores.
	@Test
	void vmsOfMixedSizesBearABurst() {
		start(8, 1.5);
		start(16, 0.9);
		start(43, 0.27);
		Assertions.assertThat(bearsFrom(BURST_MS, (t) -> 1_500)).isLessThan(4_000);
	}

	// The load of all halls together varies by a half. VMs that are added and removed
	// with each change move callers and write to the store.
	@Test
	void changesSeldomWhileTheLoadSwings() {
		start(66, 0.12);
		bearsFrom(120_000, (t) -> 100 + 50 * Math.sin(Math.PI * t / 15_000));
		Assertions.assertThat(changes()).isLessThan(60);
	}

	private final class Vm {

		private final Candidate self;

		private final VmLoad load;

		private final List<LoadLevel> levels = new ArrayList<>();

		private double backlogMs;

		private int changes;

		Vm(int number, double cores) {
			this.self = new Candidate("vm-" + number, "hall-" + number % 4, cores, LoadLevel.NORMAL);
			this.load = new VmLoad(() -> serving().stream().anyMatch((v) -> v.loadLevel() == LoadLevel.NORMAL));
		}

		void run() {
			double ms = Math.min(this.backlogMs, this.self.cores() * STEP_MS);
			this.backlogMs -= ms;
			if (ServingGrowthTests.this.step % STEPS_PER_SAMPLE == 0) {
				sample();
			}
		}

		private void sample() {
			LoadLevel before = this.load.level();
			this.load.sample((long) (requestDelayMs() / LOOP_PASSES), ServingGrowthTests.this.step * (long) STEP_MS);
			this.changes += (this.load.level() != before) ? 1 : 0;
			this.levels.add(this.load.level());
		}

		double requestDelayMs() {
			return this.backlogMs / this.self.cores();
		}

		Candidate announced() {
			int i = this.levels.size() - ANNOUNCE_SAMPLES;
			return (i < 0) ? this.self : this.self.withLevel(this.levels.get(i));
		}

	}

	private final class Caller {

		private final int phase = ServingGrowthTests.this.random.nextInt(ADDRESS_TTL_STEPS);

		private List<Vm> known = List.of();

		private Vm connected;

		private double unsent = ServingGrowthTests.this.random.nextDouble();

		void send(double requests) {
			if (this.known.isEmpty() || (ServingGrowthTests.this.step + this.phase) % ADDRESS_TTL_STEPS == 0) {
				this.known = serving().stream()
					.map((c) -> ServingGrowthTests.this.vms.get(Integer.parseInt(c.key().substring(3))))
					.toList();
			}
			for (this.unsent += requests; this.unsent >= 1; this.unsent--) {
				if (this.connected == null || !this.known.contains(this.connected)) {
					this.connected = this.known.get(ServingGrowthTests.this.random.nextInt(this.known.size()));
				}
				this.connected.backlogMs += REQUEST_MS;
				if (this.connected.load.release().closeAfterNext()) {
					this.connected = null;
				}
			}
		}

	}

}
