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

	private final Gateway gateway = new Gateway(new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000),
			new GatewayPorts(new NopWorkers(), this.timer, this.timer::now, this.timer::now, () -> 0.5,
					new DecisionLog(0), new RelayMetrics(new MetricRegistry())));

	private final ConfigReader reader = new ConfigReader(this.registry, this.gateway);

	private final AtomicInteger told = new AtomicInteger();

	private void ask() {
		this.reader.refresh(this.told::incrementAndGet);
	}

	private void answer(long version) {
		Sinks.One<RouteTable> s = this.registry.pendingConfiguration;
		this.registry.pendingConfiguration = Sinks.one();
		s.tryEmitValue(new RouteTable(version, List.of(), List.of(), IngressLimits.DEFAULT));
	}

	private void fail() {
		Sinks.One<RouteTable> s = this.registry.pendingConfiguration;
		this.registry.pendingConfiguration = Sinks.one();
		s.tryEmitError(new StoreUnavailableException("away", "test"));
	}

	@Test
	void bringsTheNewestConfigurationIntoForceBeforeItTells() {
		this.reader.refresh(() -> Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(4));
		ask();
		answer(4);
		Assertions.assertThat(this.told).hasValue(1);
	}

	// A hundred callers come while the store is asked. A call for each would be billed as
	// a hundred.
	@Test
	void allWhoAskMeanwhileShareOneAnswer() {
		for (int i = 0; i < 100; i++) {
			ask();
		}
		Assertions.assertThat(this.registry.configurationReads).isEqualTo(1);
		answer(1);
		Assertions.assertThat(this.told).hasValue(100);
	}

	// The store is away. Each caller in turn would wait for its time limit.
	@Test
	void afterAFailureTheStoreIsLeftAloneForAWhile() {
		ask();
		fail();
		ask();
		Assertions.assertThat(this.told).hasValue(2);
		Assertions.assertThat(this.registry.configurationReads).isEqualTo(1);
		this.timer.advance(300);
		ask();
		Assertions.assertThat(this.registry.configurationReads).isEqualTo(2);
	}

	// The watch brings a newer configuration while the answer with the former one is on
	// its way. Routes must not come back that callers have seen gone.
	@Test
	void aLateAnswerDoesNotBringAnOlderOneBack() {
		ask();
		this.gateway.configure(new RouteTable(5, List.of(), List.of(), IngressLimits.DEFAULT));
		answer(4);
		Assertions.assertThat(this.gateway.routeTable().orElseThrow().version()).isEqualTo(5);
	}

	private boolean proves(long version) {
		ask();
		this.timer.advance(10);
		answer(version);
		return this.gateway.configAgeMs() <= 10;
	}

	// The answer is of a copy that is older than what this VM knows. A key that was
	// revoked by a configuration in between would count as proved.
	@Test
	void anOlderConfigurationProvesNothing() {
		Assertions.assertThat(proves(5)).isTrue();
		this.timer.advance(1_000);
		Assertions.assertThat(proves(4)).isFalse();
	}

	// The store has come back from a copy. The operator may have revoked a key by a
	// configuration that this VM has not heard of and that went with what was lost.
	@Test
	void nothingIsProvedWhileTheOperatorMayStillWriteAgain() {
		proves(5);
		this.timer.advance(1_000);
		this.reader.onStoreRestored(2_500);
		Assertions.assertThat(proves(5)).isFalse();
		this.timer.advance(2_500);
		Assertions.assertThat(proves(5)).isTrue();
	}

	@Test
	void aNewerConfigurationShowsThatTheOperatorHasWritten() {
		proves(5);
		this.timer.advance(1_000);
		this.reader.onStoreRestored(2_500);
		Assertions.assertThat(proves(6)).isTrue();
	}

}
