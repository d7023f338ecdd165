package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.NopWorkers;
import io.shallotspur.gateway.ObservedCrashes;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.quarantine.PartFingerprint;
import io.shallotspur.quarantine.RequestIdentity;

/**
 * Tests of {@link SharedQuarantine}: VMs that share one store.
 */
class SharedQuarantineTests {

	private static final long CRASHING = 666;

	private static final long PUBLICATION_MS = 50;

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	private final List<Vm> vms = new ArrayList<>(List.of(new Vm(0), new Vm(1), new Vm(2)));

	// Delivers all publications to all VMs, also those that they know already.
	private void deliver() {
		List.copyOf(this.registry.suspects.values()).forEach((r) -> this.vms.forEach((v) -> v.shared.onPublished(r)));
	}

	private void crash(int vm, String worker, Long... running) {
		ObservedCrashes.record(this.vms.get(vm).gateway, worker, List.of(running), this.timer.now());
	}

	private boolean isRefusedBy(int vm) {
		return ObservedCrashes.isQuarantined(this.vms.get(vm).gateway, CRASHING, this.timer.now());
	}

	// The crashes are observed by different VMs, and the caller goes to the third.
	@Test
	void crashesAtDifferentVmsAddUp() {
		for (int i = 0; i < 3; i++) {
			Assertions.assertThat(isRefusedBy(2)).isFalse();
			crash(i % 2, "w" + i, CRASHING, 10L + i);
			this.timer.advance(1_000);
			deliver();
		}
		Assertions.assertThat(List.of(0, 1, 2)).allMatch(this::isRefusedBy);
	}

	// Guards against a publication by each VM that receives the publication of another.
	@Test
	void onlyObserversPublish() {
		for (int i = 0; i < 3; i++) {
			crash(0, "w" + i, CRASHING);
			this.timer.advance(1_000);
			deliver();
			this.timer.advance(1_000);
		}
		Assertions.assertThat(this.registry.suspects).hasSize(3);
	}

	// Guards against a conclusion that all VMs publish which have come to it by merging.
	@Test
	void conclusionsArePublishedByObserversOnly() {
		crash(0, "w0", CRASHING);
		this.timer.advance(PUBLICATION_MS);
		deliver();
		this.timer.advance(2_000);
		crash(0, "w1", CRASHING);
		crash(1, "w2", CRASHING);
		this.timer.advance(PUBLICATION_MS);
		deliver();
		this.timer.advance(1_000);
		Assertions.assertThat(this.registry.suspects.keySet()).noneMatch((name) -> name.startsWith("vm-2"));
	}

	// Guards against the loss of what was observed while the store was unavailable.
	@Test
	void publishesAfterTheStoreWasUnavailable() {
		this.registry.storeDown = true;
		for (int i = 0; i < 3; i++) {
			crash(0, "w" + i, CRASHING);
			this.timer.advance(2_000);
		}
		Assertions.assertThat(isRefusedBy(0)).isTrue();
		Assertions.assertThat(this.registry.suspects).isEmpty();
		this.registry.storeDown = false;
		this.timer.advance(2_000);
		deliver();
		Assertions.assertThat(isRefusedBy(1)).isTrue();
		Assertions.assertThat(this.registry.suspects).hasSize(1);
	}

	// Guards against the loss of a publication whose lease has ended.
	@Test
	void opensAnotherLeaseWhenItsLeaseIsGone() {
		this.registry.leaseExists = false;
		crash(0, "w1", CRASHING);
		this.timer.advance(500);
		Assertions.assertThat(this.registry.suspects).isEmpty();
		this.registry.leaseExists = true;
		this.timer.advance(2_000);
		Assertions.assertThat(this.registry.suspects).hasSize(1);
		Assertions.assertThat(this.registry.leases).isEqualTo(2);
	}

	// All VMs are killed after the third crash, and the caller comes again.
	@Test
	void aVmThatStartsReadsWhatOthersPublished() {
		for (int i = 0; i < 3; i++) {
			crash(0, "w" + i, CRASHING);
			this.timer.advance(1_000);
		}
		this.vms.set(1, new Vm(3));
		deliver();
		Assertions.assertThat(isRefusedBy(1)).isTrue();
	}

	// The VM that observed the crashes is gone, and the leases of its publications end. A
	// VM that starts later would send the request to workers again.
	@Test
	void aQuarantineOutlastsItsLeases() {
		for (int i = 0; i < 3; i++) {
			crash(0, "w" + i, CRASHING);
			this.timer.advance(1_000);
			deliver();
		}
		this.vms.remove(0).shared.stop();
		Set<String> delivered = new HashSet<>(this.registry.suspects.keySet());
		for (int minute = 0; minute < 30; minute++) {
			this.timer.advance(60_000);
			Map.copyOf(this.registry.suspects)
				.forEach((name, r) -> this.vms.stream()
					.filter((v) -> !delivered.contains(name))
					.forEach((v) -> v.shared.onPublished(r)));
			delivered.addAll(this.registry.suspects.keySet());
		}
		List<SuspectReport> latest = List.copyOf(this.registry.suspects.values())
			.get(this.registry.suspects.size() - 1);
		Assertions.assertThat(this.registry.suspects).hasSizeBetween(3 + 3, 3 + 12);
		this.registry.suspects.clear();
		this.registry.suspects.put("latest", latest);
		this.vms.add(new Vm(3));
		deliver();
		Assertions.assertThat(isRefusedBy(2)).isTrue();
	}

	@Test
	void publishesAgainWhatARestoredStoreLacks() {
		for (int i = 0; i < 3; i++) {
			crash(0, "w" + i, CRASHING);
			this.timer.advance(1_000);
		}
		this.registry.suspects.clear();
		this.vms.forEach((v) -> v.shared.onStoreRestored(100));
		this.timer.advance(1_000);
		deliver();
		Assertions.assertThat(isRefusedBy(2)).isTrue();
		Assertions.assertThat(this.registry.suspects).hasSize(1);
	}

	// Guards against innocent requests that only one VM knows to have completed.
	@Test
	void completionsAreShared() {
		crash(0, "w1", CRASHING);
		this.timer.advance(1_000);
		deliver();
		SuspectReport cleared = new SuspectReport(CRASHING,
				List.of(new SuspectReport.CrashReport("w1", 10, "CLEARED")));
		this.vms.get(2).shared.onPublished(List.of(cleared));
		crash(2, "w2", CRASHING);
		crash(2, "w3", CRASHING);
		Assertions.assertThat(isRefusedBy(2)).isFalse();
	}

	private static RequestIdentity withPart(long fingerprint) {
		return new RequestIdentity(fingerprint, List.of(new PartFingerprint(1, 10), new PartFingerprint(2, 20)));
	}

	private boolean refusesPart(int vm) {
		return ObservedCrashes.isQuarantined(this.vms.get(vm).gateway, withPart(99), this.timer.now());
	}

	private void answerFirstPart(int vm) {
		ObservedCrashes.recordAnswer(this.vms.get(vm).gateway, List.of(new PartFingerprint(1, 10)), this.timer.now());
	}

	private void crashUnderPart(int times) {
		for (int i = 0; i < times; i++) {
			ObservedCrashes.record(this.vms.get(i % 2).gateway, "w" + i, withPart(100 + i), this.timer.now());
			this.timer.advance(500);
			answerFirstPart(i % 2);
			deliver();
		}
		this.timer.advance(1_000);
	}

	// Guards against requests with a part that come to VMs that have seen no crash, or
	// have just started.
	@Test
	void allVmsRefuseAPartThatCrashesWorkers() {
		answerFirstPart(0);
		answerFirstPart(1);
		crashUnderPart(4);
		Assertions.assertThat(refusesPart(0) || refusesPart(1)).isTrue();
		this.timer.advance(1_000);
		this.vms.add(new Vm(3));
		deliver();
		Assertions.assertThat(List.of(0, 1, 2, 3)).allMatch(this::refusesPart);
	}

	// Guards against the loss of what was observed while the store was unavailable.
	@Test
	void publishesAPartAfterTheStoreWasUnavailable() {
		answerFirstPart(0);
		answerFirstPart(1);
		this.registry.storeDown = true;
		crashUnderPart(8);
		Assertions.assertThat(refusesPart(0) && refusesPart(1)).isTrue();
		Assertions.assertThat(refusesPart(2)).isFalse();
		this.registry.storeDown = false;
		this.timer.advance(2_000);
		deliver();
		Assertions.assertThat(refusesPart(2)).isTrue();
	}

	// Guards against as many crashes for each VM while the store is unavailable.
	@Test
	void vmsTellEachOtherWhileTheStoreIsUnavailable() {
		this.vms.forEach((v) -> v.shared.setPeers((reports) -> this.vms.stream()
			.filter((other) -> other != v)
			.forEach((other) -> other.shared.onTold(reports))));
		answerFirstPart(0);
		answerFirstPart(1);
		this.registry.storeDown = true;
		crashUnderPart(4);
		Assertions.assertThat(refusesPart(0) || refusesPart(1)).isTrue();
		this.timer.advance(1_000);
		Assertions.assertThat(List.of(0, 1, 2)).allMatch(this::refusesPart);
	}

	// Guards against telling all VMs what the store tells them anyway.
	@Test
	void vmsTellEachOtherNothingWhileTheStoreAccepts() {
		List<SuspectReport> told = new ArrayList<>();
		this.vms.forEach((v) -> v.shared.setPeers(told::addAll));
		crashUnderPart(4);
		Assertions.assertThat(told).isEmpty();
	}

	// Guards against a publication of each VM for each answer to a part that many prompts
	// share.
	@Test
	void answersToAPartThatIsNotInDoubtAreNotPublished() {
		this.vms.forEach((v) -> ObservedCrashes.recordAnswer(v.gateway, withPart(99).parts(), this.timer.now()));
		ObservedCrashes.record(this.vms.get(0).gateway, "w0", withPart(100), this.timer.now());
		this.timer.advance(500);
		deliver();
		this.vms.forEach((v) -> ObservedCrashes.recordAnswer(v.gateway, withPart(99).parts(), this.timer.now()));
		this.timer.advance(1_000);
		Assertions.assertThat(this.registry.suspects).hasSize(1);
	}

	// Guards against entries of a later version that this one does not understand.
	@Test
	void ignoresStatesThatAreNotKnown() {
		this.vms.get(0).shared.onPublished(
				List.of(new SuspectReport(CRASHING, List.of(new SuspectReport.CrashReport("w1", 10, "SOLVED")))));
		Assertions.assertThat(isRefusedBy(0)).isFalse();
	}

	private final class Vm {

		private final Gateway gateway = new Gateway(new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000),
				new GatewayPorts(new NopWorkers(), SharedQuarantineTests.this.timer,
						SharedQuarantineTests.this.timer::now, SharedQuarantineTests.this.timer::now, () -> 0.5,
						new DecisionLog(0), new RelayMetrics(new MetricRegistry())));

		private final SharedQuarantine shared;

		private Vm(int number) {
			this.shared = new SharedQuarantine(SharedQuarantineTests.this.registry, this.gateway.quarantine(),
					SharedQuarantineTests.this.timer, SharedQuarantineTests.this.timer::now, () -> 0.5, "vm-" + number);
			this.shared.start();
		}

	}

}
