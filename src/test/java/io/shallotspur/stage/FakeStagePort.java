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
 * Workers that take orders as the test says.
 */
final class FakeStagePort implements StagePort {

	final List<StageOrder> orders = new ArrayList<>();

	final Map<String, StageReport> reports = new HashMap<>();

	OrderResult result = OrderResult.ACCEPTED;

	// Workers that give no report.
	final Set<String> silent = new HashSet<>();

	long startedAt;

	// Orders are accepted and their answers lost.
	boolean losesAnswers;

	// Orders are lost on their way.
	boolean losesOrders;

	@Override
	public Mono<StageReport> report(WorkerInfo worker) {
		if (this.silent.contains(worker.id())) {
			return Mono.error(new EngineLostException("silent", worker.id()));
		}
		return Mono
			.just(this.reports.getOrDefault(worker.id(), new StageReport(worker.stage(), false, 0, this.startedAt)));
	}

	@Override
	public Mono<OrderResult> order(StageOrder order) {
		this.orders.add(order);
		if (this.losesOrders) {
			return Mono.error(new EngineLostException("lost", order.worker().id()));
		}
		if (this.result == OrderResult.ACCEPTED) {
			this.reports.put(order.worker().id(), new StageReport(order.stage(), true, order.expectedOrderCount() + 1, 0));
		}
		return this.losesAnswers ? Mono.error(new EngineLostException("lost", order.worker().id()))
				: Mono.just(this.result);
	}

	void done(String worker, WorkerStage stage) {
		this.reports.put(worker, new StageReport(stage, false, 1, 0));
	}

}
