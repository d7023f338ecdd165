package io.shallotspur.stage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import reactor.core.publisher.Mono;

import io.shallotspur.exc.EngineLostException;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;

/**
 * A fake port whose reports and order results are set by the test.
 */
final class FakeStagePort implements StagePort {

	final List<StageOrder> orders = new ArrayList<>();

	final Map<String, StageReport> reports = new HashMap<>();

	OrderResult result = OrderResult.ACCEPTED;

	// Workers whose report calls fail.
	final Set<String> unresponsiveWorkers = new HashSet<>();

	long startedAt;

	// Orders are processed, but their responses are lost.
	boolean losesResponses;

	// Orders are lost before they reach the worker.
	boolean losesOrders;

	// Run when an order is sent.
	Runnable onOrder = () -> {
	};

	@Override
	public Mono<StageReport> report(WorkerInfo worker) {
		if (this.unresponsiveWorkers.contains(worker.id())) {
			return Mono.error(new EngineLostException("no response", worker.id()));
		}
		return Mono
			.just(this.reports.getOrDefault(worker.id(), new StageReport(worker.stage(), false, 0, this.startedAt)));
	}

	@Override
	public Mono<OrderResult> order(StageOrder order) {
		this.orders.add(order);
		this.onOrder.run();
		if (this.losesOrders) {
			return Mono.error(new EngineLostException("order lost", order.worker().id()));
		}
		if (this.result == OrderResult.ACCEPTED) {
			this.reports.put(order.worker().id(),
					new StageReport(order.stage(), true, order.expectedOrderCount() + 1, 0));
		}
		return this.losesResponses ? Mono.error(new EngineLostException("response lost", order.worker().id()))
				: Mono.just(this.result);
	}

	void completeChange(String worker, WorkerStage stage) {
		this.reports.put(worker, new StageReport(stage, false, 1, 0));
	}

}
