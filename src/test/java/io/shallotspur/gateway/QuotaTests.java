package io.shallotspur.gateway;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.GatewayFixture.Call;
import io.shallotspur.route.Customer;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.Quota;
import io.shallotspur.route.QuotaUnit;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.RouteTarget;
import io.shallotspur.route.UpstreamSpec;

/**
 * Tests that requests are charged to the quotas of customers and refunded.
 */
class QuotaTests {

	private static final Quota TOKENS = new Quota(QuotaUnit.TOKENS, 10_000, 10_000, 200);

	private static final Customer ACME = GatewayFixture.customer("acme", TOKENS, "key-1");

	private static Customer customer(double perSecond, double burst) {
		return GatewayFixture.customer("acme", new Quota(QuotaUnit.TOKENS, perSecond, burst, 200), "key-1");
	}

	private static GatewayFixture gateway(Customer c) {
		GatewayFixture f = new GatewayFixture().addPlainWorkers(1);
		f.gateway.configure(GatewayFixture.table(1, c));
		f.timer.advance(20_000);
		return f;
	}

	@Test
	void plainRequestsHaveTheConfiguredCost() {
		Assertions.assertThat(TOKENS.plainRequestCost()).isEqualTo(200);
		Assertions.assertThat(TOKENS.cost(1_460, 80)).isEqualTo(1_540);
		Assertions.assertThat(new Quota(QuotaUnit.REQUESTS, 5, 5, 200).cost(1_460, 80)).isEqualTo(1);
	}

	@Test
	void requestOverQuotaIsRefusedWithAnAccurateRetryDelay() {
		GatewayFixture f = gateway(ACME);
		int served = 0;
		Call c = f.callWithKey("safe", "key-1");
		while (c.caller().refusal == null) {
			f.workers.lastRun().respond(200, "fine");
			served++;
			c = f.callWithKey("safe", "key-1");
		}
		Assertions.assertThat(served).isEqualTo(46);
		Assertions.assertThat(c.caller().status).isEqualTo(429);
		f.timer.advance(c.caller().refusal.retryAfterMs());
		Assertions.assertThat(f.callWithKey("safe", "key-1").caller().refusal).isNull();
	}

	// Guards against charging requests that full workers have refused: the caller, which
	// is told to retry, would pay for every attempt.
	@Test
	void requestThatDidNotRunIsNotCharged() {
		GatewayFixture f = gateway(ACME);
		for (int i = 0; i < 200; i++) {
			Call c = f.callWithKey("unsafe", "key-1");
			f.workers.lastRun().rejectNotRun();
			Assertions.assertThat(c.caller().status).isEqualTo(503);
		}
	}

	// Guards against one customer's excess traffic affecting other customers.
	@Test
	void quotasAreIndependentPerCustomer() {
		GatewayFixture f = new GatewayFixture().addPlainWorkers(1);
		f.gateway.configure(GatewayFixture.table(1, ACME, GatewayFixture.customer("bolt", TOKENS, "key-2")));
		f.timer.advance(20_000);
		for (int i = 0; i < 100; i++) {
			f.callWithKey("safe", "key-1");
		}
		Assertions.assertThat(f.callWithKey("safe", "key-1").caller().status).isEqualTo(429);
		Assertions.assertThat(f.callWithKey("safe", "key-2").caller().refusal).isNull();
	}

	// Guards against a VM whose share is smaller than one request and that never admits
	// any.
	@Test
	void requestLargerThanTheBurstIsAdmittedPeriodically() {
		GatewayFixture f = gateway(customer(1_000, 1_000));
		f.addWorker("d1", "llm", WorkerStage.DECODE);
		Assertions.assertThat(f.callWithKeyAndPrompt("once", "key-1", 6_000).caller().completed).isFalse();
		Assertions.assertThat(f.callWithKeyAndPrompt("once", "key-1", 6_000).caller().status).isEqualTo(429);
	}

	// Guards against spending the rest of a former burst after the operator has lowered
	// the quota.
	@Test
	void loweredQuotaTakesEffectImmediately() {
		GatewayFixture f = gateway(customer(100_000, 100_000));
		f.gateway.configure(GatewayFixture.table(2, customer(1_000, 1_000)));
		int served = 0;
		while (f.callWithKey("safe", "key-1").caller().refusal == null) {
			served++;
		}
		Assertions.assertThat(served).isEqualTo(5);
	}

	// Guards against callers that wait for a worker, leave and pay for nothing: the
	// customer would be refused while no worker has run any of its requests.
	@Test
	void callerThatLeavesBeforeAnythingWasSentIsNotCharged() {
		GatewayFixture f = gateway(ACME);
		f.gateway.roster().find("p1").ifPresent((w) -> f.askForPause(w.info(), 200));
		for (int i = 0; i < 100; i++) {
			Call c = f.callWithKey("safe", "key-1");
			Assertions.assertThat(c.caller().refusal).isNull();
			c.disconnect().run();
		}
	}

	// Guards against a customer with a priority of its own whose urgent requests are
	// refused because its others have used the quota up.
	@Test
	void routesRankTheRequestsOfACustomer() {
		GatewayFixture f = new GatewayFixture().addPlainWorkers(1);
		Customer c = new Customer("acme", ACME.keyHashes(), 1, TOKENS);
		f.gateway.configure(new RouteTable(1, List.of(route("urgent", 0), route("other", 2)),
				List.of(new UpstreamSpec("plain", 10_000, null)), IngressLimits.DEFAULT, List.of(c)));
		f.timer.advance(20_000);
		f.callWithKey("urgent", "key-1");
		f.workers.lastRun().respond(200, "fine");
		for (int i = 0; i < 1_000; i++) {
			if (f.callWithKey("other", "key-1").caller().responseCount == 0) {
				f.workers.lastRun().respond(200, "fine");
			}
			f.timer.advance(10);
		}
		f.callWithKey("other", "key-1");
		Assertions.assertThat(f.callWithKey("other", "key-1").caller().status).isEqualTo(429);
		Assertions.assertThat(f.callWithKey("urgent", "key-1").caller().refusal).isNull();
		Assertions.assertThat(f.metrics.counter("customer.over-quota.rank-2.acme").getCount()).isPositive();
		Assertions.assertThat(f.metrics.counter("customer.over-quota.rank-0.acme").getCount()).isZero();
		Assertions.assertThat(f.metrics.getGauges().get("customer.quota-share.acme").getValue()).isEqualTo(10_000L);
	}

	private static Route route(String name, int priority) {
		return new Route(name, "shop.example", "/" + name + "/", RouteKind.SAFE, List.of(new RouteTarget("plain", 1)),
				800, 300, 0, priority, 2, false, false, false);
	}

}
