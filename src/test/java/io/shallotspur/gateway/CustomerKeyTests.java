package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;
import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;

/**
 * Tests of whose a request is, and of keys that were revoked.
 */
class CustomerKeyTests {

	private static final long REVOCATION_BOUND_MS = 5_000;

	private static final Customer ACME = GatewayFixture.customer("acme", Quota.UNLIMITED, "key-1", "key-2");

	private static final Customer BOLT = GatewayFixture.customer("bolt", Quota.UNLIMITED, "key-3");

	private final GatewayFixture f = new GatewayFixture(REVOCATION_BOUND_MS).addPlainWorkers(2);

	// Questions to the store that wait for an answer.
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

	// A customer gets a new key, and the first caller who uses it reaches a VM that has
	// not heard of it. Denied, the caller takes its key for bad and gives up.
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

	// The VM is cut off from the store, and meanwhile a stolen key is revoked. Its thief
	// could use this VM for as long as the cut lasts.
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

	// The store is slow, and a caller has waited for its permission. Counted from then
	// on,
	// its time would be longer than it waits, and its worker would go on for nobody.
	@Test
	void revalidationTimeCountsAgainstTheDeadline() {
		this.f.timer.advance(REVOCATION_BOUND_MS);
		this.f.callWithKey("safe", "key-1");
		this.f.timer.advance(300);
		confirmConfig();
		completeStoreRequests();
		Assertions.assertThat(this.f.workers.lastRun().call.timeoutMs()).isEqualTo(500);
	}

	// A caller waits for its permission at a store that is silent. Its own time passes,
	// and it could have been served by another VM.
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

	// The machine is suspended for six seconds. Its steady clock does not count them, and
	// by that clock the configuration was proved a moment ago.
	@Test
	void suspensionAgesTheConfiguration() {
		this.f.wallClockOffsetMs += 6_000;
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
		Assertions.assertThat(this.storeRequests).hasSize(1);
	}

	// Someone sets the clock back. A proof whose age were counted by it would never end.
	@Test
	void clockSetBackDoesNotReduceTheConfigurationAge() {
		this.f.wallClockOffsetMs -= 60_000;
		this.f.timer.advance(REVOCATION_BOUND_MS);
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
	}

	// The clock is set back by a minute, and then the machine is suspended. By the time
	// of
	// day the proof is younger than it was.
	@Test
	void clockSetBackDoesNotHideASuspension() {
		this.f.wallClockOffsetMs -= 60_000;
		this.f.gateway.elapsedMs();
		this.f.wallClockOffsetMs += 6_000;
		this.f.callWithKey("safe", "key-1");
		Assertions.assertThat(runCount()).isZero();
		Assertions.assertThat(this.storeRequests).hasSize(1);
	}

	// The store answers slowly: the operator revokes a key just after it has read it for
	// this VM. Counted from the answer, the key would be good for longer than it may.
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

	// A proof that is renewed only when it has ended would leave no time to serve in
	// when the store is lost right then.
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
