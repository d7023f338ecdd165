package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;
import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;

/**
 * Tests of API keys: which customer a request belongs to, and revoked keys.
 */
class CustomerKeyTests {

	private static final long REVOCATION_BOUND_MS = 5_000;

	private static final Customer ACME = GatewayFixture.customer("acme", Quota.UNLIMITED, "key-1", "key-2");

	private static final Customer BOLT = GatewayFixture.customer("bolt", Quota.UNLIMITED, "key-3");

	private final GatewayFixture f = new GatewayFixture(REVOCATION_BOUND_MS).addPlainWorkers(2);

	// Pending requests to the store.
	private final List<Runnable> storeRequests = new ArrayList<>();

	CustomerKeyTests() {
		this.f.gateway.configure(GatewayFixture.table(1, ACME, BOLT));
		this.f.gateway.setConfigSource(this.storeRequests::add);
		confirmConfig();
	}

	private void confirmConfig() {
		this.f.gateway.configConfirmed(this.f.gateway.elapsedMs());
	}

	private void completeStoreRequests() {
		List<Runnable> l = List.copyOf(this.storeRequests);
		this.storeRequests.clear();
		l.forEach(Runnable::run);
	}

	private int runCount() {
		return this.f.workers.runs.size();
	}

	@Test
	void forwardsTheCustomerToTheWorker() {
		this.f.callWithKey("safe", "key-2");
		Assertions.assertThat(this.f.workers.lastRun().call.customer()).isEqualTo("acme");
		this.f.callWithKey("safe", "key-3");
		Assertions.assertThat(this.f.workers.lastRun().call.customer()).isEqualTo("bolt");
	}

	@Test
	void rejectsMissingAndUnknownKeys() {
		Assertions.assertThat(this.f.callWithKey("safe", null).caller().status).isEqualTo(401);
		Assertions.assertThat(this.f.callWithKey("safe", "guess").caller().status).isEqualTo(401);
		Assertions.assertThat(runCount()).isZero();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	@Test
	void anonymousRouteNeedsNoKey() {
		this.f.callWithKey("open", null);
		Assertions.assertThat(this.f.workers.lastRun().call.customer()).isNull();
		this.f.callWithKey("open", "guess");
		Assertions.assertThat(this.f.workers.lastRun().call.customer()).isNull();
		this.f.callWithKey("open", "key-1");
		Assertions.assertThat(this.f.workers.lastRun().call.customer()).isEqualTo("acme");
	}

	@Test
	void noKeyIsNeededWithoutConfiguredCustomers() {
		GatewayFixture g = new GatewayFixture(REVOCATION_BOUND_MS).configured().addPlainWorkers(1);
		g.callWithKey("safe", "any");
		Assertions.assertThat(g.workers.lastRun().call.customer()).isNull();
	}

	// A customer gets a new key, and the first request with it reaches a VM that has not
	// received it. If rejected, the caller would consider its key invalid and give up.
	@Test
	void refreshesTheConfigurationBeforeRejectingAKey() {
		this.f.timer.advance(2_000);
		Call c = this.f.callWithKey("safe", "key-new");
		Assertions.assertThat(c.caller().completed).isFalse();
		this.f.gateway
			.configure(GatewayFixture.table(2, ACME, GatewayFixture.customer("bolt", Quota.UNLIMITED, "key-new")));
		confirmConfig();
		completeStoreRequests();
		Assertions.assertThat(this.f.workers.lastRun().call.customer()).isEqualTo("bolt");
	}

	// The VM is disconnected from the store while a stolen key is revoked. If the VM kept
	// accepting it, the key would stay usable there for as long as the
	// disconnection lasts.
	@Test
	void refusesAKeyWhenTheConfigurationIsTooOld() {
		this.f.timer.advance(REVOCATION_BOUND_MS);
		Call c = this.f.callWithKey("safe", "key-1");
		completeStoreRequests();
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		Assertions.assertThat(c.caller().refusal.reason()).isEqualTo(RefusalReason.KEY_UNPROVEN);
		Assertions.assertThat(runCount()).isZero();
	}

	@Test
	void runsTheRequestAfterTheStoreConfirmsTheKey() {
		this.f.timer.advance(REVOCATION_BOUND_MS);
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
		confirmConfig();
		completeStoreRequests();
		Assertions.assertThat(runCount()).isEqualTo(1);
	}

	// The store is slow, and a request has waited for its key check. If its time counted
	// only from then on, its deadline would exceed the caller's, and the worker would
	// continue for a caller that has left.
	@Test
	void revalidationTimeCountsAgainstTheDeadline() {
		this.f.timer.advance(REVOCATION_BOUND_MS);
		this.f.callWithKey("safe", "key-1");
		this.f.timer.advance(300);
		confirmConfig();
		completeStoreRequests();
		Assertions.assertThat(this.f.workers.lastRun().call.timeoutMs()).isEqualTo(500);
	}

	// A request waits for its key check while the store does not respond. Its time
	// passes, although another VM could have served it.
	@Test
	void refusesInTimeWhenTheStoreDoesNotRespond() {
		this.f.timer.advance(REVOCATION_BOUND_MS);
		Call c = this.f.callWithKey("safe", "key-1");
		this.f.timer.advance(500);
		Assertions.assertThat(c.caller().status).isEqualTo(503);
		confirmConfig();
		completeStoreRequests();
		Assertions.assertThat(c.caller().responseCount).isEqualTo(1);
		Assertions.assertThat(runCount()).isZero();
	}

	@Test
	void cancelledRequestIsDroppedDuringRevalidation() {
		this.f.timer.advance(REVOCATION_BOUND_MS);
		Call c = this.f.callWithKey("safe", "key-1");
		c.disconnect().run();
		confirmConfig();
		completeStoreRequests();
		Assertions.assertThat(runCount()).isZero();
		Assertions.assertThat(this.f.gateway.inProgress()).isZero();
	}

	// The machine is suspended for six seconds. Its monotonic clock does not count them,
	// and by that clock the configuration was confirmed a moment ago.
	@Test
	void suspensionAgesTheConfiguration() {
		this.f.wallClockOffsetMs += 6_000;
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
		Assertions.assertThat(this.storeRequests).hasSize(1);
	}

	// The time of day is set back. If the configuration's age were measured by it, the
	// confirmation would not expire.
	@Test
	void clockSetBackDoesNotReduceTheConfigurationAge() {
		this.f.wallClockOffsetMs -= 60_000;
		this.f.timer.advance(REVOCATION_BOUND_MS);
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
	}

	// The time of day is set back by a minute, and then the machine is suspended. By the
	// time of day the confirmation is more recent than it was.
	@Test
	void clockSetBackDoesNotHideASuspension() {
		this.f.wallClockOffsetMs -= 60_000;
		this.f.gateway.elapsedMs();
		this.f.wallClockOffsetMs += 6_000;
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
		Assertions.assertThat(this.storeRequests).hasSize(1);
	}

	// The store responds slowly: the operator revokes a key just after the store has read
	// it for this VM. Counted from the response, the key would be accepted for longer
	// than the bound.
	@Test
	void configurationAgeCountsFromTheRequest() {
		this.f.timer.advance(1_000);
		long requestedAt = this.f.gateway.elapsedMs();
		this.f.timer.advance(4_000);
		this.f.gateway.configConfirmed(requestedAt);
		this.f.timer.advance(1_000);
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
	}

	// A configuration that is refreshed only after its confirmation has expired would
	// leave no time to serve in if the store is lost at that moment.
	@Test
	void refreshesTheConfigurationEarlyUnderTraffic() {
		this.f.timer.advance(1_000);
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(this.storeRequests).isEmpty();
		this.f.timer.advance(500);
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(this.storeRequests).hasSize(1);
		Assertions.assertThat(runCount()).isEqualTo(2);
	}

	@Test
	void removedKeyIsRejected() {
		this.f.gateway.configure(GatewayFixture.table(2, GatewayFixture.customer("acme", Quota.UNLIMITED, "key-2")));
		Assertions.assertThat(this.f.callWithKey("safe", "key-1").caller().status).isEqualTo(401);
		this.f.callWithKey("safe", "key-2");
		Assertions.assertThat(runCount()).isEqualTo(1);
	}

}
