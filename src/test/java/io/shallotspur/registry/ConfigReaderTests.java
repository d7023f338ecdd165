package io.shallotspur.registry;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Sinks;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.NopWorkers;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.RouteTable;

/**
 * Tests of {@link ConfigReader}.
 */
class ConfigReaderTests {

	private final ManualTimer timer = new ManualTimer();

	private final FakeRegistry registry = new FakeRegistry();

	// Offset of the time of day from the monotonic clock, ms.
	private long wallClockOffsetMs;

	private final Gateway gateway = new Gateway(new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000),
			new GatewayPorts(new NopWorkers(), this.timer, this.timer::now,
					() -> this.timer.now() + this.wallClockOffsetMs, () -> 0.5, new DecisionLog(0),
					new RelayMetrics(new MetricRegistry())));

	private final ConfigReader reader = new ConfigReader(this.registry, this.gateway);

	private final AtomicInteger completed = new AtomicInteger();

	private void read() {
		this.reader.refresh(this.completed::incrementAndGet);
	}

	private void respond(long version) {
		Sinks.One<RouteTable> s = this.registry.pendingConfiguration;
		this.registry.pendingConfiguration = Sinks.one();
		s.tryEmitValue(new RouteTable(version, List.of(), List.of(), IngressLimits.DEFAULT));
	}

	private void fail() {
		Sinks.One<RouteTable> s = this.registry.pendingConfiguration;
		this.registry.pendingConfiguration = Sinks.one();
		s.tryEmitError(new StoreUnavailableException("unavailable", "test"));
	}

	@Test
	void appliesTheConfigurationBeforeItCompletes() {
		this.reader
			.refresh(() -> Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(4));
		read();
		respond(4);
		Assertions.assertThat(this.completed).hasValue(1);
	}

	// Guards against a revoked key that is accepted after a restore of the store, as the
	// time of day was set forward.
	@Test
	void aTimeOfDayThatIsSetProvesNoConfiguration() {
		read();
		respond(4);
		this.reader.onStoreRestored(2_500);
		this.wallClockOffsetMs = 2_400_000;
		read();
		respond(4);
		Assertions.assertThat(this.gateway.configAgeMs()).isGreaterThan(2_000_000);
		this.timer.advance(2_600);
		read();
		respond(4);
		Assertions.assertThat(this.gateway.configAgeMs()).isLessThan(1_000);
	}

	// A hundred callers arrive during one read. Separate calls would be billed as a
	// hundred.
	@Test
	void callersDuringAReadShareItsResponse() {
		for (int i = 0; i < 100; i++) {
			read();
		}
		Assertions.assertThat(this.registry.configurationReads).isEqualTo(1);
		respond(1);
		Assertions.assertThat(this.completed).hasValue(100);
	}

	// The store is unavailable. Without the delay, each caller in turn would wait until
	// its own call times out.
	@Test
	void makesNoCallShortlyAfterAFailure() {
		read();
		fail();
		read();
		Assertions.assertThat(this.completed).hasValue(2);
		Assertions.assertThat(this.registry.configurationReads).isEqualTo(1);
		this.timer.advance(300);
		read();
		Assertions.assertThat(this.registry.configurationReads).isEqualTo(2);
	}

	// The watch delivers a newer configuration while the response with the former one is
	// in transit. Routes that were already removed must not come back.
	@Test
	void aDelayedResponseDoesNotRestoreAnOlderConfiguration() {
		read();
		this.gateway.configure(new RouteTable(5, List.of(), List.of(), IngressLimits.DEFAULT));
		respond(4);
		Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(5);
	}

	private boolean proves(long version) {
		read();
		this.timer.advance(10);
		respond(version);
		return this.gateway.configAgeMs() <= 10;
	}

	// The response comes from a snapshot that is older than the configuration this VM
	// has. A key that was revoked in between would be accepted as proved.
	@Test
	void anOlderConfigurationIsNoProof() {
		Assertions.assertThat(proves(5)).isTrue();
		this.timer.advance(1_000);
		Assertions.assertThat(proves(4)).isFalse();
	}

	// The store was restored from a snapshot. The restore may have lost a configuration
	// that revoked a key and that this VM has never received.
	@Test
	void aKnownConfigurationIsNoProofUntilTheRestoreHasSettled() {
		proves(5);
		this.timer.advance(1_000);
		this.reader.onStoreRestored(2_500);
		Assertions.assertThat(proves(5)).isFalse();
		this.timer.advance(2_500);
		Assertions.assertThat(proves(5)).isTrue();
	}

	@Test
	void aNewerConfigurationIsAProofDuringARestore() {
		proves(5);
		this.timer.advance(1_000);
		this.reader.onStoreRestored(2_500);
		Assertions.assertThat(proves(6)).isTrue();
	}

}
