package io.shallotspur.registry;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EngineTimeEstimator;
import io.shallotspur.gateway.EngineTimeSamples;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.NopWorkers;
import io.shallotspur.gateway.OutputLengthModel;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.UpstreamSpec;

/**
 * Tests of {@link SharedEngineStats}: two VMs that share one store.
 */
class SharedEngineStatsTests {

	private static final EngineStatistics KNOWN = new EngineStatistics(64, 3_000, 500, 3_800, 0.03, 0.03, 7,
			OutputLengthModel.PRIOR);

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	private final Vm one = new Vm();

	private final Vm other = new Vm();

	private void deliver() {
		this.registry.stats.values().forEach((s) -> {
			this.one.sharedStats.onStats(s);
			this.other.sharedStats.onStats(s);
		});
	}

	// A VM starts during a burst. Without shared statistics it would schedule and refuse
	// requests as if there were no load, until its own requests had shown the load.
	@Test
	void aVmWithoutSamplesUsesThoseOfOthers() {
		EngineTimeSamples.recordRequests(this.one.times(), 4, 3_000, 500, 90, 7);
		this.timer.advance(1_000);
		deliver();
		EngineStatistics f = this.other.times().statistics().orElseThrow();
		Assertions.assertThat(f.samples()).isEqualTo(4);
		Assertions.assertThat(f.prefillMs()).isEqualTo(90);
		Assertions.assertThat(f.generationMs()).isEqualTo(3_500);
	}

	// Both VMs publish at the same time. If the second overwrote the first, the samples
	// of the first would be lost to all VMs.
	@Test
	void addsTheSamplesOfBothVms() {
		EngineTimeSamples.recordRequests(this.one.times(), 4, 2_000, 400, 60, 7);
		EngineTimeSamples.recordRequests(this.other.times(), 4, 4_000, 600, 120, 7);
		for (int i = 0; i < 8; i++) {
			this.timer.advance(700);
			deliver();
		}
		EngineStatistics f = this.one.times().statistics().orElseThrow();
		Assertions.assertThat(f.samples()).isEqualTo(8);
		Assertions.assertThat(f.promptTokens()).isEqualTo(3_000);
		Assertions.assertThat(f.outputTokens()).isEqualTo(500);
	}

	// Hundreds of VMs publish and receive statistics. If each published every request,
	// the number of calls would grow with the traffic times the number of VMs.
	@Test
	void publishesNothingOnceTheLoadIsKnown() {
		Assertions.assertThat(SharedEngineStats.shouldPublish(KNOWN,
				new EngineStatistics(20, 3_200, 450, 3_900, 0.031, 0.031, 7.5, OutputLengthModel.PRIOR)))
			.isFalse();
		Assertions
			.assertThat(SharedEngineStats.shouldPublish(KNOWN,
					new EngineStatistics(3, 9_000, 500, 9_800, 0.03, 0.03, 7, OutputLengthModel.PRIOR)))
			.isFalse();
	}

	// The traffic shifts to long prompts. If old samples outweighed the new ones for
	// long, the division of the workers between the stages would stay as it was.
	@Test
	void publishesWhenTheTrafficShifts() {
		this.registry.stats.put("llm", new RegistryChange.EngineStatsUpdated("llm", KNOWN, new StorePosition(0, 50)));
		deliver();
		for (int i = 0; i < 10; i++) {
			EngineTimeSamples.recordRequests(this.one.times(), 20, 9_000, 500, 270, 7);
			this.timer.advance(700);
			deliver();
		}
		Assertions.assertThat(this.other.times().statistics().orElseThrow().promptTokens())
			.isGreaterThanOrEqualTo(0.75 * 9_000);
	}

	// The response of the store was lost, or the store is unavailable: the samples are
	// published later.
	@Test
	void publishesAgainWhenTheStoreIsBack() {
		EngineTimeSamples.recordRequests(this.one.times(), 4, 3_000, 500, 90, 7);
		this.registry.storeDown = true;
		this.timer.advance(2_000);
		Assertions.assertThat(this.registry.stats).isEmpty();
		this.registry.storeDown = false;
		this.timer.advance(3_000);
		Assertions.assertThat(this.registry.stats).hasSize(1);
	}

	// A listing can be older than a change that was received before it.
	@Test
	void ignoresAnOlderUpdate() {
		this.one.sharedStats.onStats(new RegistryChange.EngineStatsUpdated("llm", KNOWN, new StorePosition(0, 50)));
		this.one.sharedStats.onStats(new RegistryChange.EngineStatsUpdated("llm",
				new EngineStatistics(1, 1, 1, 1, 1, 1, 1, OutputLengthModel.PRIOR), new StorePosition(0, 49)));
		Assertions.assertThat(this.one.times().statistics()).contains(KNOWN);
	}

	// A restore from a snapshot decreases the revision. The entries of the restored store
	// would be ignored until its revisions exceed the former ones.
	@Test
	void acceptsTheEntriesOfARestoredStore() {
		this.one.sharedStats.onStats(new RegistryChange.EngineStatsUpdated("llm", KNOWN, new StorePosition(1, 50)));
		this.one.sharedStats.onStoreRestored();
		EngineStatistics few = new EngineStatistics(3, 2_000, 500, 3_800, 0.03, 0.03, 7, OutputLengthModel.PRIOR);
		this.one.sharedStats.onStats(new RegistryChange.EngineStatsUpdated("llm", few, new StorePosition(2, 20)));
		Assertions.assertThat(this.one.times().statistics()).contains(few);
	}

	private final class Vm {

		private final Gateway gateway = new Gateway(new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000),
				new GatewayPorts(new NopWorkers(), SharedEngineStatsTests.this.timer,
						SharedEngineStatsTests.this.timer::now, SharedEngineStatsTests.this.timer::now, () -> 0.5,
						new DecisionLog(0), new RelayMetrics(new MetricRegistry())));

		private final SharedEngineStats sharedStats = new SharedEngineStats(SharedEngineStatsTests.this.registry,
				this.gateway, SharedEngineStatsTests.this.timer, () -> 0.5);

		private Vm() {
			EngineSpec engine = new EngineSpec(48, 42_411, 327_680, 3_300_000, 500, 2_000, 12);
			this.gateway.configure(
					new RouteTable(1, List.of(), List.of(new UpstreamSpec("llm", 100, engine)), IngressLimits.DEFAULT));
			this.sharedStats.start();
		}

		private EngineTimeEstimator times() {
			return this.gateway.engineTimes("llm");
		}

	}

}
