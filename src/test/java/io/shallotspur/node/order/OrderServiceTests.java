package io.shallotspur.node.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

import io.shallotspur.exc.EngineLostException;
import io.shallotspur.exc.EngineRefusedException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.order.OrderException;
import io.shallotspur.order.OrderFault;
import io.shallotspur.order.OrderGate;
import io.shallotspur.order.OrderLeaseSettings;
import io.shallotspur.order.OrderPermit;
import io.shallotspur.port.Engine;
import io.shallotspur.port.EngineOrder;
import io.shallotspur.port.EngineReport;
import io.shallotspur.port.PrefillResult;
import io.shallotspur.port.StoreLease;
import io.shallotspur.port.TokenChunk;
import io.shallotspur.testing.FakeKvStore;

import static org.assertj.core.api.Assertions.assertThat;

class OrderServiceTests {

	private static final Worker WORKER = new Worker("draft-1", "draft-llm", "hall-a", WorkerRole.DECODE, "", 20, 0, 0,
			1, 1);

	private final VirtualTimeScheduler time = VirtualTimeScheduler.create();

	private final FakeKvStore store = new FakeKvStore();

	private final FakeEngine engine = new FakeEngine();

	@Test
	void pausedFormerHolderCannotUndoAnOrder() {
		// Node a is paused with an order on its way, its lease ends, node b loads another
		// model, and the old order arrives. The engine does not check numbers; without
		// the wait and the second reading it would serve the wrong model from then on.
		give(service("a", Set.of()), "old");
		advance(12_000);
		assertThat(this.engine.model).isEqualTo("old");
		advance(15_000);
		AtomicReference<Object> end = give(service("b", Set.of()), "new");
		advance(9_000);
		assertThat(this.engine.model).as("b waits out the margin").isEqualTo("old");
		advance(2_000);
		assertThat(this.engine.model).isEqualTo("new");
		this.engine.model = "old";
		advance(12_000);
		assertThat(this.engine.model).as("b read back and gave its order again").isEqualTo("new");
		advance(12_000);
		assertThat(end.get()).isEqualTo("done");
	}

	@Test
	void engineThatChecksNumbersIsNotWaitedForAndRefusesTheFormerHolder() {
		OrderService a = service("a", Set.of("draft-llm"));
		this.engine.checks = true;
		assertThat(give(a, "old").get()).isEqualTo("done");
		advance(16_000);
		assertThat(give(service("b", Set.of("draft-llm")), "new").get()).isEqualTo("done");
		assertThat(this.engine.order(WORKER, new EngineOrder.Load("old", "1", "", 1)).materialize().block())
			.matches((s) -> s.getThrowable() instanceof EngineRefusedException);
		assertThat(this.engine.model).isEqualTo("new");
	}

	@Test
	void lostAnswersAreReadBackAndNotTakenForFailures() {
		OrderService a = service("a", Set.of("draft-llm"));
		this.engine.loseAnswers = 1;
		assertThat(give(a, "one").get()).isEqualTo("done");
		assertThat(this.engine.orders).hasSize(1);
		this.engine.loseOrders = 2;
		AtomicReference<Object> end = give(a, "two");
		advance(2_000);
		assertThat(end.get()).isEqualTo("done");
		assertThat(this.engine.model).isEqualTo("two");
	}

	@Test
	void noOrderWithoutTheLease() {
		give(service("a", Set.of("draft-llm")), "one");
		assertThat(give(service("b", Set.of("draft-llm")), "two").get()).isInstanceOfSatisfying(OrderException.class,
				(ex) -> assertThat(ex.getFault()).isEqualTo(OrderFault.NOT_HOLDER));
		this.store.setDown(true);
		advance(20_000);
		assertThat(give(service("a", Set.of()), "three").get()).isInstanceOfSatisfying(OrderException.class,
				(ex) -> assertThat(ex.getFault()).isEqualTo(OrderFault.NO_LEASE));
		assertThat(this.engine.model).isEqualTo("one");
	}

	@Test
	void gateCountsTheLeaseFromTheQuestion() {
		// The store's answer takes four seconds. Counted from the answer, this node would
		// believe in its lease after another one got it.
		OrderLeaseSettings l = OrderLeaseSettings.DEFAULT;
		OrderGate g = OrderGate.withoutLease(l).withLease(new StoreLease("c", "a", 5, 15_000), "a", 0, 4_000);
		assertThat(g.permit(true, 9_500)).isInstanceOf(OrderPermit.Granted.class);
		assertThat(g.permit(true, 9_501)).isInstanceOf(OrderPermit.LeaseNotHeld.class);
		assertThat(g.permit(false, 9_000)).isEqualTo(new OrderPermit.Deferred(14_000));
		OrderGate renewed = g.withLease(new StoreLease("c", "a", 5, 15_000), "a", 9_000, 9_001);
		assertThat(renewed.permit(false, 14_000)).isEqualTo(new OrderPermit.Granted(5, 19_000));
		assertThat(renewed.withLease(new StoreLease("c", "b", 6, 15_000), "a", 9_500, 9_501).permit(true, 9_600))
			.isInstanceOf(OrderPermit.LeaseNotHeld.class);
	}

	private OrderService service(String node, Set<String> fencing) {
		OrderSettings s = new OrderSettings(OrderLeaseSettings.DEFAULT, fencing, 5, 500);
		return new OrderService(node, s, this.store, this.engine,
				(w, o) -> Mono.fromSupplier(() -> ((EngineOrder.Load) o).model().equals(this.engine.model)), this.time);
	}

	private AtomicReference<Object> give(OrderService s, String model) {
		AtomicReference<Object> end = new AtomicReference<>();
		s.give("cell-1", WORKER, (token) -> new EngineOrder.Load(model, "1", "", token)).subscribe((v) -> {
		}, end::set, () -> end.set("done"));
		return end;
	}

	private void advance(long ms) {
		for (long t = 0; t < ms; t += 100) {
			this.time.advanceTimeBy(Duration.ofMillis(100));
			this.store.setNow(this.time.now(TimeUnit.MILLISECONDS));
		}
	}

	private static final class FakeEngine implements Engine {

		private final List<EngineOrder> orders = new ArrayList<>();

		private @Nullable String model;

		private long newest;

		private boolean checks;

		private int loseAnswers;

		private int loseOrders;

		@Override
		public Mono<Void> order(Worker worker, EngineOrder order) {
			return Mono.defer(() -> {
				EngineOrder.Load l = (EngineOrder.Load) order;
				if (this.checks && l.fencingToken() < this.newest) {
					return Mono.error(new EngineRefusedException("old number", worker.id()));
				}
				if (this.loseOrders > 0) {
					this.loseOrders--;
					return Mono.error(new EngineLostException("lost", worker.id()));
				}
				this.newest = l.fencingToken();
				this.model = l.model();
				this.orders.add(order);
				if (this.loseAnswers > 0) {
					this.loseAnswers--;
					return Mono.error(new EngineLostException("lost", worker.id()));
				}
				return Mono.empty();
			});
		}

		@Override
		public Mono<PrefillResult> prefill(Worker worker, String streamId, byte[] body, String resumedText) {
			return Mono.empty();
		}

		@Override
		public Mono<Void> transfer(Worker from, Worker to, String streamId) {
			return Mono.empty();
		}

		@Override
		public Flux<TokenChunk> decode(Worker worker, String streamId, long fromIndex) {
			return Flux.empty();
		}

		@Override
		public Mono<Void> cancel(Worker worker, String streamId) {
			return Mono.empty();
		}

		@Override
		public Mono<List<String>> streams(Worker worker) {
			return Mono.empty();
		}

		@Override
		public Flux<EngineReport> reports(Worker worker) {
			return Flux.empty();
		}

	}

}
