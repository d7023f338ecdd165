package io.shallotspur.platform;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import io.shallotspur.exc.StoreHistoryGoneException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.OutputLengthModel;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.RegistryUpdate;
import io.shallotspur.registry.StorePosition;

/**
 * Tests of the duty and of announcements in {@link StoreRegistry}, against a stand-in for
 * the store.
 */
class StoreRegistryTests {

	private static final long LEASE = 3;

	private final FakeStore store = new FakeStore();

	private final Loop loop = new Loop();

	private final StoreRegistry registry = new StoreRegistry(this.store.address(), this.loop);

	@AfterEach
	void stop() {
		this.loop.close();
		this.store.stop();
	}

	private StorePosition fence() {
		return this.registry.readLeader().block().orElseThrow().electedAt();
	}

	// Two VMs ask for the duty in the same moment. Were it given to both, they would undo
	// each other's orders.
	@Test
	void givesTheDutyToOne() {
		Assertions.assertThat(this.registry.readLeader().block()).isEmpty();
		Assertions.assertThat(this.registry.claimLeadership("vms/a", LEASE).block()).isTrue();
		Assertions.assertThat(this.registry.claimLeadership("vms/b", LEASE).block()).isFalse();
		Assertions.assertThat(this.registry.readLeader().block().orElseThrow().vm()).isEqualTo("vms/a");
	}

	@Test
	void announcesOnlyForTheHolder() {
		this.registry.claimLeadership("vms/a", LEASE).block();
		StorePosition other = new StorePosition(fence().era(), fence().revision() - 1);
		Assertions.assertThat(this.registry.announceStageChange("w1", WorkerStage.DECODE, other, LEASE).block()).isFalse();
		Assertions.assertThat(this.registry.announceStageChange("w1", WorkerStage.DECODE, fence(), LEASE).block()).isTrue();
		Assertions.assertThat(this.registry.list().block().changes())
			.contains(new RegistryChange.StageChangeAnnounced("w1", WorkerStage.DECODE));
	}

	@Test
	void tellsOfDutyAndAnnouncements() {
		RegistryUpdate before = this.registry.list().block();
		this.registry.claimLeadership("vms/a", LEASE).block();
		StorePosition fence = fence();
		this.registry.announceStageChange("w1", WorkerStage.PREFILL, fence, LEASE).block();
		this.registry.withdrawStageChange("w1").block();
		this.store.remove(Names.DUTY_KEY);
		List<RegistryChange> l = this.registry.watch(before.position(), 0).block().changes();
		Assertions.assertThat(l)
			.containsExactly(new RegistryChange.LeaderElected("vms/a", fence),
					new RegistryChange.StageChangeAnnounced("w1", WorkerStage.PREFILL), new RegistryChange.StageChangeWithdrawn("w1"),
					new RegistryChange.LeadershipVacant());
	}

	// Two VMs tell of what they saw in the same moment; the second would overwrite what
	// the first has told.
	@Test
	void tellsFiguresOnTopOfThoseThatAreKnown() {
		EngineStatistics f = new EngineStatistics(4, 3_000, 500, 3_800, 0.03, 0.03, 7, OutputLengthModel.PRIOR);
		Assertions.assertThat(this.registry.publishStats("llm", f, StorePosition.NONE).block()).isTrue();
		Assertions.assertThat(this.registry.publishStats("llm", f, StorePosition.NONE).block()).isFalse();
		RegistryChange.EngineStatsUpdated seen = (RegistryChange.EngineStatsUpdated) this.registry.list().block().changes().get(0);
		Assertions.assertThat(seen.stats()).isEqualTo(f);
		Assertions.assertThat(this.registry.publishStats("llm", f, seen.position()).block()).isTrue();
	}

	private List<Long> restores() {
		List<Long> l = new CopyOnWriteArrayList<>();
		this.registry.setRestoreListener(l::add);
		return l;
	}

	@Test
	void tellsThatTheStoreWasRestoredBeforeItsAnswerIsTaken() {
		this.store.put("op/other", "{}");
		this.store.takeSnapshot();
		RegistryUpdate before = this.registry.list().block();
		List<Long> restores = restores();
		this.store.put("op/other", "{}");
		this.store.restoreSnapshot();
		RegistryUpdate after = this.registry.list().block();
		Assertions.assertThat(restores).containsExactly(2L);
		Assertions.assertThat(after.position().compareTo(before.position())).isPositive();
	}

	// Revisions are given out again. The watch goes on from one that the store has by now
	// for something else, and what was written before it is never heard.
	@Test
	void aWatchFromAnEarlierEraIsNotGoneOnWith() {
		this.store.takeSnapshot();
		this.store.put("op/a", "{}");
		RegistryUpdate before = this.registry.list().block();
		this.store.restoreSnapshot();
		this.store.put("op/b", "{}");
		this.store.put("op/c", "{}");
		Assertions.assertThatThrownBy(() -> this.registry.watch(before.position(), 0).block())
			.hasCauseInstanceOf(StoreHistoryGoneException.class);
	}

	// The former holder's revision stands for another holder now.
	@Test
	void announcesNothingForAHolderOfAnEarlierEra() {
		this.store.takeSnapshot();
		this.registry.claimLeadership("vms/a", LEASE).block();
		StorePosition fence = fence();
		this.store.restoreSnapshot();
		this.registry.claimLeadership("vms/b", LEASE).block();
		Assertions.assertThat(fence().revision()).isEqualTo(fence.revision());
		Assertions.assertThat(fence().fencingToken()).isGreaterThan(fence.fencingToken());
		Assertions.assertThat(this.registry.announceStageChange("w1", WorkerStage.DECODE, fence, LEASE).block()).isFalse();
		Assertions.assertThat(this.store.hasKeyWithPrefix(Names.STAGE_PREFIX)).isFalse();
	}

	// A lease was got in one era and its number is another VM's in the next: a
	// registration under it would last as long as that VM does.
	@Test
	void aWriteAcrossARestoreDoesNotCountAsDone() {
		this.store.takeSnapshot();
		long lease = this.registry.openLease(3_000).block();
		this.store.restoreSnapshot();
		this.store.reuseLease(lease);
		EntryVm vm = new EntryVm("vms/a", "10.0.0.1:80", "region-1", "hall-a", 1, false);
		Assertions.assertThat(this.registry.registerVm(vm, lease).block()).isFalse();
	}

	// A configuration of another content has the revision of the one that was decoded.
	@Test
	void decodesAConfigurationAnewThatHasTheRevisionOfAnother() {
		this.store.takeSnapshot();
		this.store.put(Names.CONFIG_KEY, config(7));
		Assertions.assertThat(this.registry.readConfiguration().block().version()).isEqualTo(7);
		this.store.restoreSnapshot();
		this.store.put(Names.CONFIG_KEY, config(8));
		Assertions.assertThat(this.registry.readConfiguration().block().version()).isEqualTo(8);
	}

	private static String config(long version) {
		return """
				{"version":%d,"routes":[],"services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":1000,
				"header_timeout_ms":3000,"idle_timeout_ms":15000}}""".formatted(version);
	}

	// An answer of before the return comes late, on another connection.
	@Test
	void dropsAnAnswerOfAnEarlierEra() {
		this.store.era(5);
		this.registry.list().block();
		this.store.era(4);
		Assertions.assertThatThrownBy(() -> this.registry.list().block())
			.hasCauseInstanceOf(StoreUnavailableException.class);
	}

	@Test
	void tellsThatAnEraHasSettled() {
		this.registry.list().block();
		Assertions.assertThat(this.registry.publishSettled(1).block()).isTrue();
		Assertions.assertThat(this.registry.publishSettled(7).block()).isFalse();
		Assertions.assertThat(this.registry.list().block().changes()).contains(new RegistryChange.EraSettled(1));
	}

}
