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
 * Goes through all orders, up to a length, in which a key is revoked, a VM asks the store
 * and is answered late, the store comes back from an older copy, time passes, the machine
 * is suspended, its clock is set back and callers come.
 * <p>
 * A key is revoked while the VM is cut off, suspended, or has an answer on its way that
 * was read before. Its thief then uses the VM. No request may run that was sent later
 * than the operator's bound after the revocation.
 */
class RevocationModelTests {

	private static final long REVOKED_MS = 5_000;

	// The operator has written again so long after the store's return, ms.
	private static final long WRITTEN_AGAIN_MS = 2_000;

	// For so long after it has noticed the return a VM does not trust the store, ms.
	private static final long OLD_MS = 2_500;

	private static final int LENGTH = 8;

	private int ran;

	@Test
	void noRequestRunsWithAKeyThatWasRevokedTooLongAgo() {
		explore(new ArrayList<>());
		// Had nothing run at all, the above would say nothing.
		Assertions.assertThat(this.ran).isPositive();
	}

	// Only orders that end with a caller and have one revocation can show the fault.
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
		steps.forEach(w::take);
		Assertions.assertThat(w.late).as("%s", steps).isEmpty();
		this.ran += w.runs;
	}

	/** What can happen next. */
	private enum Step {

		/** A caller comes with the key. */
		REQUEST,

		/** The store reads the configuration that the VM has asked for. */
		READ,

		/** Its answer reaches the VM. */
		DELIVER,

		/** The operator revokes the key. */
		REVOKE,

		/** The store comes back from a copy of before the revocation. */
		RESTORE,

		/** Half of the bound passes, and a little. */
		WAIT,

		/** The machine is suspended for the bound and a little. */
		SUSPEND,

		/** Someone sets the time of day back by the bound. */
		SET_BACK

	}

	/**
	 * One VM, the store and the time. Not thread-safe.
	 */
	private static final class World extends NopWorkers {

		private final ManualTimer timer = new ManualTimer();

		private final FakeRegistry registry = new FakeRegistry();

		private final Map<String, Long> sentAt = new HashMap<>();

		private final List<String> late = new ArrayList<>();

		private final Gateway gateway;

		private long suspendedMs;

		private long setBackMs;

		private long revokedAt = Long.MAX_VALUE;

		// Until then the store does not have the revocation: the operator writes again.
		private long lostUntil = Long.MIN_VALUE;

		private long era;

		private long readEra;

		private @Nullable RouteTable read;

		private int answered;

		private int runs;

		private World() {
			this.gateway = new Gateway(
					new GatewaySettings("vm", "hall-a", 0.2, 50, 10_000).withRevokedKeyMs(REVOKED_MS),
					new GatewayPorts(this, this.timer, this.timer::now, this::timeOfDay, () -> 0.5, new DecisionLog(0),
							new RelayMetrics(new MetricRegistry())));
			ConfigReader reader = new ConfigReader(this.registry, this.gateway);
			this.gateway.setConfigSource(reader);
			this.registry.setRestoreListener((e) -> reader.onStoreRestored(OLD_MS));
			this.gateway.configure(table());
			this.gateway.roster()
				.updateEntry(new WorkerInfo("w", "up", "10.0.0.1", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 0),
						this.timer.now());
		}

		// The time that passes for everybody else.
		private long now() {
			return this.timer.now() + this.suspendedMs;
		}

		private long timeOfDay() {
			return now() - this.setBackMs;
		}

		private RouteTable table() {
			boolean revoked = this.revokedAt != Long.MAX_VALUE && now() >= this.lostUntil;
			Route r = new Route("r", "h", "/", RouteKind.SAFE, List.of(new RouteTarget("up", 1)), 800, 300, 0, 0, 2,
					false, false, false);
			Customer c = new Customer("acme", revoked ? Set.of() : Set.of(BearerKey.hash("key")), null,
					Quota.UNLIMITED);
			return new RouteTable(revoked ? 2 : 1, List.of(r), List.of(new UpstreamSpec("up", 10, null)),
					IngressLimits.DEFAULT, List.of(c));
		}

		private void take(Step s) {
			switch (s) {
				case REQUEST -> request();
				case READ -> read();
				case DELIVER -> deliver();
				case REVOKE -> revoke();
				case RESTORE -> restore();
				case WAIT -> this.timer.advance(REVOKED_MS / 2 + 100);
				case SUSPEND -> suspend();
				case SET_BACK -> setBack();
			}
			// The VM reads its clocks all the time.
			this.gateway.elapsedMs();
		}

		private void request() {
			String id = "q" + this.sentAt.size();
			this.sentAt.put(id, now());
			this.gateway.handle(new RelayRequest(id, "GET", "/x", "h", List.of(), new byte[0], 1_500, null, null,
					BearerKey.hash("key")), new NopAnswer());
		}

		private void revoke() {
			this.revokedAt = now();
		}

		private void restore() {
			this.era++;
			this.lostUntil = now() + WRITTEN_AGAIN_MS;
		}

		private void suspend() {
			this.suspendedMs += REVOKED_MS + 100;
		}

		private void setBack() {
			this.setBackMs += REVOKED_MS;
		}

		// The store reads when it has been asked, and not before.
		private void read() {
			if (this.registry.configurationReads > this.answered) {
				this.read = table();
				this.readEra = this.era;
			}
		}

		private void deliver() {
			if (this.read != null) {
				this.answered = this.registry.configurationReads;
				Sinks.One<RouteTable> s = this.registry.pendingConfiguration;
				this.registry.pendingConfiguration = Sinks.one();
				if (this.readEra > this.registry.era) {
					this.registry.restore();
				}
				s.tryEmitValue(this.read);
				this.read = null;
			}
		}

		@Override
		public Exchange run(WorkerCall call, ExchangeListener listener) {
			this.runs++;
			long sent = this.sentAt.get(call.request().id());
			if (this.revokedAt != Long.MAX_VALUE && sent > this.revokedAt + REVOKED_MS) {
				this.late.add(call.request().id());
			}
			return () -> {
			};
		}

	}

	/**
	 * A caller that does not look at its answer.
	 */
	private static final class NopAnswer implements CallerResponse {

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
