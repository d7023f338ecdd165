package io.shallotspur.node.order;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.exc.EngineRefusedException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.order.OrderException;
import io.shallotspur.order.OrderFault;
import io.shallotspur.order.OrderGate;
import io.shallotspur.order.OrderPermit;
import io.shallotspur.port.Engine;
import io.shallotspur.port.EngineOrder;
import io.shallotspur.port.KvStore;

/**
 * Gives orders to engines under a lease of the key-value service, one lease a cell.
 * <p>
 * An order whose answer is lost is read back and given again if it is not in force, which
 * is harmless since orders are idempotent. To an engine that does not check fencing
 * numbers, an order is read back once more after the margin: an order that a paused
 * former holder sent late would show then, and this node's is given again. Thread-safe.
 */
public final class OrderService {

	private final String self;

	private final OrderSettings settings;

	private final KvStore store;

	private final Engine engine;

	private final OrderReadBack readBack;

	private final Scheduler scheduler;

	private final Map<String, OrderGate> gates = new ConcurrentHashMap<>();

	/**
	 * Creates the service.
	 * @param self the name of this node as a holder of leases
	 * @param settings the settings
	 * @param store holds the leases
	 * @param engine takes the orders
	 * @param readBack asks engines what they do
	 * @param scheduler keeps the time and runs the waits
	 */
	public OrderService(String self, OrderSettings settings, KvStore store, Engine engine, OrderReadBack readBack,
			Scheduler scheduler) {
		this.self = self;
		this.settings = settings;
		this.store = store;
		this.engine = engine;
		this.readBack = readBack;
		this.scheduler = scheduler;
	}

	/**
	 * Gives an order and sees to it that it is in force.
	 * @param cell the cell whose lease the order needs
	 * @param worker the worker
	 * @param order makes the order from a fencing number
	 * @return completes when the order is in force; fails with {@link OrderException}, or
	 * with {@link EngineRefusedException} if the engine has seen a newer number
	 */
	public Mono<Void> give(String cell, Worker worker, LongFunction<EngineOrder> order) {
		return give(cell, worker, order, this.settings.tries());
	}

	private Mono<Void> give(String cell, Worker worker, LongFunction<EngineOrder> order, int tries) {
		boolean checks = this.settings.fencingUpstreams().contains(worker.upstream());
		return leased(cell, worker).flatMap((g) -> {
			OrderPermit p = g.permit(checks, now());
			if (p instanceof OrderPermit.Deferred w) {
				return pause(w.retryAt() - now()).then(give(cell, worker, order, tries));
			}
			if (p instanceof OrderPermit.Granted give) {
				EngineOrder o = order.apply(give.fencingToken());
				return send(worker, o, give).then(verify(cell, worker, order, o, checks, tries));
			}
			return Mono.error(new OrderException(OrderFault.NOT_HOLDER, worker.id(), null));
		});
	}

	private Mono<Void> send(Worker worker, EngineOrder o, OrderPermit.Granted p) {
		return Mono.defer(() -> {
			// Read again at the last moment: a node that was paused since it was
			// permitted must not send under a lease that has ended meanwhile.
			long left = p.deadline() - now();
			return (left > 0) ? this.engine.order(worker, o).timeout(Duration.ofMillis(left), this.scheduler)
					: Mono.error(new OrderException(OrderFault.NOT_HOLDER, worker.id(), null));
		}).onErrorResume((ex) -> {
			if (ex instanceof EngineRefusedException || ex instanceof OrderException) {
				return Mono.error(ex);
			}
			// The answer is lost, the order may be in force: reading back tells.
			Logger.info("[order] the answer of {} was lost, reading back: {}", worker.id(), ex);
			return Mono.empty();
		});
	}

	private Mono<Void> verify(String cell, Worker worker, LongFunction<EngineOrder> order, EngineOrder o,
			boolean checks, int tries) {
		Mono<Boolean> now = inForce(worker, o);
		Mono<Boolean> settled = checks ? now : now
			.flatMap((ok) -> ok ? pause(this.settings.limits().lateOrderMarginMs()).then(inForce(worker, o)) : Mono.just(false));
		return settled.flatMap((ok) -> {
			if (ok) {
				return Mono.empty();
			}
			if (tries <= 1) {
				return Mono.error(new OrderException(OrderFault.NOT_IN_FORCE, worker.id(), null));
			}
			return pause(this.settings.retryMs()).then(give(cell, worker, order, tries - 1));
		});
	}

	private Mono<Boolean> inForce(Worker worker, EngineOrder o) {
		return Mono.defer(() -> this.readBack.isInForce(worker, o))
			.timeout(Duration.ofMillis(this.settings.limits().orderTimeoutMs()), this.scheduler)
			.onErrorReturn(false)
			.defaultIfEmpty(false);
	}

	private Mono<OrderGate> leased(String cell, Worker worker) {
		return Mono.defer(() -> {
			OrderGate g = gate(cell);
			if (!g.needsRenewal(now())) {
				return Mono.just(g);
			}
			long askedAt = now();
			return this.store.lease("orders/" + cell, this.self, this.settings.limits().leaseTtlMs())
				.timeout(Duration.ofMillis(this.settings.limits().orderTimeoutMs()), this.scheduler)
				.map((l) -> this.gates.merge(cell, gate(cell).withLease(l, this.self, askedAt, now()), (a, b) -> b))
				.onErrorMap((ex) -> new OrderException(OrderFault.NO_LEASE, worker.id(), ex));
		});
	}

	private OrderGate gate(String cell) {
		return this.gates.computeIfAbsent(cell, (c) -> OrderGate.withoutLease(this.settings.limits()));
	}

	private Mono<Long> pause(long ms) {
		return Mono.delay(Duration.ofMillis(Math.max(0, ms)), this.scheduler);
	}

	private long now() {
		return this.scheduler.now(TimeUnit.MILLISECONDS);
	}

}
