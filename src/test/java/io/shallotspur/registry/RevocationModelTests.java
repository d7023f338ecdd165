package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Sinks;

import io.shallotspur.contract.BearerKey;
import io.shallotspur.gateway.CallerResponse;
import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.Exchange;
import io.shallotspur.gateway.ExchangeListener;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.HeaderField;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.NopWorkers;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.gateway.RelayRefusal;
import io.shallotspur.gateway.RelayRequest;
import io.shallotspur.gateway.WorkerCall;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.Customer;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.Quota;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.RouteTarget;
import io.shallotspur.route.UpstreamSpec;

/**
 * Plays all sequences of a fixed length in which a key is revoked, a VM reads from the
 * store and the response is delayed, the store is restored from an older snapshot, time
 * passes, the machine is suspended, its clock is set back and requests arrive.
 * <p>
 * Guards against this failure: a key is revoked while the VM is disconnected, suspended,
 * or waiting for a response that was read before the revocation, and someone who has
 * stolen the key uses that VM. No request may run that was sent after the operator's
 * deadline for a revocation.
 */
class RevocationModelTests {

	private static final long REVOCATION_MS = 5_000;

	// The operator has written again this long after a restore of the store, ms.
	private static final long REWRITE_MS = 2_000;

	// A VM does not trust the store for this long after it noticed a restore, ms.
	private static final long STALE_MS = 2_500;

	private static final int LENGTH = 8;

	private int totalRuns;

	@Test
	void noRequestRunsWithAKeyAfterItsRevocationDeadline() {
		explore(new ArrayList<>());
		// The sequences prove nothing unless some requests ran.
		Assertions.assertThat(this.totalRuns).isPositive();
	}

	// Only sequences that end with a request and contain one revocation can fail.
	private void explore(List<Step> steps) {
		if (steps.size() == LENGTH - 1) {
			if (steps.contains(Step.REVOKE)) {
				steps.add(Step.REQUEST);
				play(steps);
				steps.remove(LENGTH - 1);
			}
			return;
		}
		for (Step s : Step.values()) {
			boolean possible = switch (s) {
				case REVOKE -> !steps.contains(Step.REVOKE);
				case RESTORE -> steps.contains(Step.REVOKE) && !steps.contains(Step.RESTORE);
				case READ -> steps.contains(Step.REQUEST);
				case DELIVER -> steps.contains(Step.READ);
				default -> true;
			};
			if (possible) {
				steps.add(s);
				explore(steps);
				steps.remove(steps.size() - 1);
			}
		}
	}

	private void play(List<Step> steps) {
		World w = new World();
		steps.forEach(w::perform);
		Assertions.assertThat(w.violations).as("%s", steps).isEmpty();
		this.totalRuns += w.runs;
	}

	/** A step of a sequence. */
	private enum Step {

		/** A request with the key arrives. */
		REQUEST,

		/** The store reads the configuration that the VM requested. */
		READ,

		/** Its response reaches the VM. */
		DELIVER,

		/** The operator revokes the key. */
		REVOKE,

		/** The store is restored from a snapshot from before the revocation. */
		RESTORE,

		/** Slightly more than half of the deadline passes. */
		WAIT,

		/** The machine is suspended for slightly longer than the deadline. */
		SUSPEND,

		/** The wall clock is set back by the length of the deadline. */
		SET_BACK

	}

	/**
	 * Simulates one VM, the store that it reads its configuration from, and the VM's
	 * clocks, and records violations of the tested property. Not thread-safe.
	 */
	private static final class World extends NopWorkers {

		private final ManualTimer timer = new ManualTimer();

		private final FakeRegistry registry = new FakeRegistry();

		private final Map<String, Long> sentAt = new HashMap<>();

		private final List<String> violations = new ArrayList<>();

		private final Gateway gateway;

		private long suspendedMs;

		private long setBackMs;

		private long revokedAt = Long.MAX_VALUE;

		// Until then the restored store lacks the revocation; then the operator writes it
		// again.
		private long revocationLostUntil = Long.MIN_VALUE;

		private long era;

		private long readEra;

		private @Nullable RouteTable readTable;

		private int answeredReads;

		private int runs;

		private World() {
			this.gateway = new Gateway(
					new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000).withRevokedKeyMs(REVOCATION_MS),
					new GatewayPorts(this, this.timer, this.timer::now, this::wallClock, () -> 0.5, new DecisionLog(0),
							new RelayMetrics(new MetricRegistry())));
			ConfigReader reader = new ConfigReader(this.registry, this.gateway);
			this.gateway.setConfigSource(reader);
			this.registry.setRestoreListener((e) -> reader.onStoreRestored(STALE_MS));
			this.gateway.configure(table());
			this.gateway.roster()
				.updateEntry(
						new WorkerInfo("w", "up", "10.0.0.1", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 0, "v1"),
						this.timer.now());
		}

		// The real time, which includes suspensions of the VM's machine.
		private long now() {
			return this.timer.now() + this.suspendedMs;
		}

		private long wallClock() {
			return now() - this.setBackMs;
		}

		private RouteTable table() {
			boolean revoked = this.revokedAt != Long.MAX_VALUE && now() >= this.revocationLostUntil;
			Route r = new Route("r", "h", "/", RouteKind.SAFE, List.of(new RouteTarget("up", 1)), 800, 300, 0, 0, 2,
					false, false, false);
			Customer c = new Customer("acme", revoked ? Set.of() : Set.of(BearerKey.hash("key")), null,
					Quota.UNLIMITED);
			return new RouteTable(revoked ? 2 : 1, List.of(r), List.of(new UpstreamSpec("up", 10, null)),
					IngressLimits.DEFAULT, List.of(c));
		}

		private void perform(Step s) {
			switch (s) {
				case REQUEST -> request();
				case READ -> read();
				case DELIVER -> deliver();
				case REVOKE -> revoke();
				case RESTORE -> restore();
				case WAIT -> this.timer.advance(REVOCATION_MS / 2 + 100);
				case SUSPEND -> suspend();
				case SET_BACK -> setBack();
			}
			// The VM reads its clocks continuously.
			this.gateway.elapsedMs();
		}

		private void request() {
			String id = "q" + this.sentAt.size();
			this.sentAt.put(id, now());
			this.gateway.handle(new RelayRequest(id, "GET", "/x", "h", List.of(), new byte[0], 1_500, null, List.of(),
					null, null, BearerKey.hash("key")), new NopResponse(), this.timer.now());
		}

		private void revoke() {
			this.revokedAt = now();
		}

		private void restore() {
			this.era++;
			this.revocationLostUntil = now() + REWRITE_MS;
		}

		private void suspend() {
			this.suspendedMs += REVOCATION_MS + 100;
		}

		private void setBack() {
			this.setBackMs += REVOCATION_MS;
		}

		// The store reads only while a configuration read of the VM is unanswered.
		private void read() {
			if (this.registry.configurationReads > this.answeredReads) {
				this.readTable = table();
				this.readEra = this.era;
			}
		}

		private void deliver() {
			if (this.readTable != null) {
				this.answeredReads = this.registry.configurationReads;
				Sinks.One<RouteTable> s = this.registry.pendingConfiguration;
				this.registry.pendingConfiguration = Sinks.one();
				if (this.readEra > this.registry.era) {
					this.registry.restore();
				}
				s.tryEmitValue(this.readTable);
				this.readTable = null;
			}
		}

		@Override
		public Exchange run(WorkerCall call, ExchangeListener listener) {
			this.runs++;
			long requestSentAt = this.sentAt.get(call.request().id());
			if (this.revokedAt != Long.MAX_VALUE && requestSentAt > this.revokedAt + REVOCATION_MS) {
				this.violations.add(call.request().id());
			}
			return () -> {
			};
		}

	}

	/**
	 * A caller that ignores its response.
	 */
	private static final class NopResponse implements CallerResponse {

		@Override
		public void send(int status, List<HeaderField> headers, byte[] body) {
		}

		@Override
		public void refuse(RelayRefusal refusal) {
		}

		@Override
		public void start(int status, List<HeaderField> headers) {
		}

		@Override
		public void write(byte[] bytes) {
		}

		@Override
		public void complete() {
		}

		@Override
		public void abort() {
		}

	}

}
