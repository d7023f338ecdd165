package io.shallotspur.registry;

import java.util.List;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EngineTimeEstimator;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.OutputLengthModel;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.NopWorkers;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.gateway.EngineTimeSamples;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.UpstreamSpec;

/**
 * Tests of {@link SharedEngineStats}: two VMs before one store.
 */
class SharedEngineStatsTests {

	private static final EngineStatistics MANY = new EngineStatistics(64, 3_000, 500, 3_800, 0.03, 0.03, 7,
			OutputLengthModel.PRIOR);

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	private final Vm one = new Vm();

	private final Vm other = new Vm();

	private void hear() {
		this.registry.stats.values().forEach((f) -> {
			this.one.figures.onStats(f);
			this.other.figures.onStats(f);
		});
	}

	// A VM starts in the middle of a burst. Until its own requests had shown it the load,
	// it would order and refuse as if there were none.
	@Test
	void aVmThatHasSeenNothingKnowsWhatTheOthersSaw() {
		EngineTimeSamples.recordRequests(this.one.times(), 4, 3_000, 500, 90, 7);
		this.timer.advance(1_000);
		hear();
		EngineStatistics f = this.other.times().statistics().orElseThrow();
		Assertions.assertThat(f.samples()).isEqualTo(4);
		Assertions.assertThat(f.prefillMs()).isEqualTo(90);
		Assertions.assertThat(f.generationMs()).isEqualTo(3_500);
	}

	// Both tell in the same moment. If the second overwrote the first, what that VM had
	// seen would be lost to all.
	@Test
	void addsWhatBothHaveSeen() {
		EngineTimeSamples.recordRequests(this.one.times(), 4, 2_000, 400, 60, 7);
		EngineTimeSamples.recordRequests(this.other.times(), 4, 4_000, 600, 120, 7);
		for (int i = 0; i < 8; i++) {
			this.timer.advance(700);
			hear();
		}
		EngineStatistics f = this.one.times().statistics().orElseThrow();
		Assertions.assertThat(f.samples()).isEqualTo(8);
		Assertions.assertThat(f.promptTokens()).isEqualTo(3_000);
		Assertions.assertThat(f.outputTokens()).isEqualTo(500);
	}

	// Hundreds of VMs tell and hear. If each told of each request, the calls would grow
	// with the traffic times the VMs.
	@Test
	void isSilentOnceTheLoadIsKnown() {
		Assertions
			.assertThat(SharedEngineStats.shouldPublish(MANY,
					new EngineStatistics(20, 3_200, 450, 3_900, 0.031, 0.031, 7.5, OutputLengthModel.PRIOR)))
			.isFalse();
		Assertions
			.assertThat(SharedEngineStats.shouldPublish(MANY,
					new EngineStatistics(3, 9_000, 500, 9_800, 0.03, 0.03, 7, OutputLengthModel.PRIOR)))
			.isFalse();
	}

	// The traffic turns to long prompts. What was seen before must not outweigh it for
	// long, or the workers stay shared out as before.
	@Test
	void tellsWhenTheTrafficTurns() {
		this.registry.stats.put("llm", new RegistryChange.EngineStatsUpdated("llm", MANY, new StorePosition(0, 50)));
		hear();
		for (int i = 0; i < 10; i++) {
			EngineTimeSamples.recordRequests(this.one.times(), 20, 9_000, 500, 270, 7);
			this.timer.advance(700);
			hear();
		}
		Assertions.assertThat(this.other.times().statistics().orElseThrow().promptTokens())
			.isGreaterThanOrEqualTo(0.75 * 9_000);
	}

	// The answer of the store was lost, or the store is away: what was seen is told
	// later.
	@Test
	void tellsAgainWhenTheStoreIsBack() {
		EngineTimeSamples.recordRequests(this.one.times(), 4, 3_000, 500, 90, 7);
		this.registry.storeDown = true;
		this.timer.advance(2_000);
		Assertions.assertThat(this.registry.stats).isEmpty();
		this.registry.storeDown = false;
		this.timer.advance(3_000);
		Assertions.assertThat(this.registry.stats).hasSize(1);
	}

	// A listing can be older than a change that came before it.
	@Test
	void isNotMisledByOlderNews() {
		this.one.figures.onStats(new RegistryChange.EngineStatsUpdated("llm", MANY, new StorePosition(0, 50)));
		this.one.figures.onStats(new RegistryChange.EngineStatsUpdated("llm",
				new EngineStatistics(1, 1, 1, 1, 1, 1, 1, OutputLengthModel.PRIOR), new StorePosition(0, 49)));
		Assertions.assertThat(this.one.times().statistics()).contains(MANY);
	}

	// Revisions go back with a store that comes back from a copy. What it has then would
	// be left aside until its revisions have passed those of before.
	@Test
	void hearsWhatTheStoreHasAfterARestore() {
		this.one.figures.onStats(new RegistryChange.EngineStatsUpdated("llm", MANY, new StorePosition(1, 50)));
		this.one.figures.onStoreRestored();
		EngineStatistics few = new EngineStatistics(3, 2_000, 500, 3_800, 0.03, 0.03, 7, OutputLengthModel.PRIOR);
		this.one.figures.onStats(new RegistryChange.EngineStatsUpdated("llm", few, new StorePosition(2, 20)));
		Assertions.assertThat(this.one.times().statistics()).contains(few);
	}

	private final class Vm {

		private final Gateway gateway = new Gateway(new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000),
				new GatewayPorts(new NopWorkers(), SharedEngineStatsTests.this.timer, SharedEngineStatsTests.this.timer::now,
						SharedEngineStatsTests.this.timer::now, () -> 0.5, new DecisionLog(0),
						new RelayMetrics(new MetricRegistry())));

		private final SharedEngineStats figures = new SharedEngineStats(SharedEngineStatsTests.this.registry, this.gateway,
				SharedEngineStatsTests.this.timer, () -> 0.5);

		private Vm() {
			EngineSpec engine = new EngineSpec(48, 42_411, 327_680, 3_300_000, 500, 2_000, 12);
			this.gateway.configure(
					new RouteTable(1, List.of(), List.of(new UpstreamSpec("llm", 100, engine)), IngressLimits.DEFAULT));
			this.figures.start();
		}

		private EngineTimeEstimator times() {
			return this.gateway.engineTimes("llm");
		}

	}

}
