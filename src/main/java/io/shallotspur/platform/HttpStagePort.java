package io.shallotspur.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.EngineLostException;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.stage.OrderResult;
import io.shallotspur.stage.StageOrder;
import io.shallotspur.stage.StagePort;
import io.shallotspur.stage.StageReport;

/**
 * Orders to workers over the platform's HTTP. Confined to the event loop.
 */
final class HttpStagePort implements StagePort {

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int CONFLICT = 409;

	private static final int LOWER_FENCE = 412;

	// A worker answers these in a few ms; one that does not in many times that is cut
	// off or loses answers, ms.
	private static final long TIMEOUT_MS = 500;

	private final WorkerClient workers;

	private final Loop loop;

	/**
	 * Creates a port.
	 * @param workers the client
	 * @param loop the event loop
	 */
	HttpStagePort(WorkerClient workers, Loop loop) {
		this.workers = workers;
		this.loop = loop;
	}

	@Override
	public Mono<StageReport> report(WorkerInfo worker) {
		return this.workers.call(HttpMethod.GET, worker, Names.REPORT_PATH)
			.responseSingle((r, content) -> content.asByteArray()
				.defaultIfEmpty(new byte[0])
				.flatMap((b) -> report(worker, r.status().code(), b)))
			.timeout(Duration.ofMillis(TIMEOUT_MS), this.loop.scheduler())
			.onErrorMap((ex) -> lost(worker, ex));
	}

	private static Mono<StageReport> report(WorkerInfo worker, int status, byte[] body) {
		try {
			JsonNode n = (status == OK) ? EntryDecoder.JSON.readTree(body) : null;
			Optional<WorkerStage> stage = (n != null) ? EntryDecoder.stage(n.path("stage").asText()) : Optional.empty();
			if (stage.isEmpty() || !n.path("sequence_number").isIntegralNumber()) {
				return Mono.error(new IOException("status " + status));
			}
			// The number in a report counts orders; in the registry it counts heartbeats.
			return Mono.just(new StageReport(stage.get(), n.path("busy").asBoolean(),
					n.path("sequence_number").asLong(), n.path(Names.STARTED_AT).asLong()));
		}
		catch (IOException ex) {
			return Mono.error(ex);
		}
	}

	@Override
	public Mono<OrderResult> order(StageOrder o) {
		ObjectNode n = EntryDecoder.JSON.createObjectNode()
			.put("operation", "stage")
			.put("stage", EntryDecoder.encode(o.stage()))
			.put("holder", o.holder())
			.put("fencing_token", o.fencingToken())
			.put("expected", o.expectedOrderCount());
		return this.workers.post(o.worker(), Names.ORDER_PATH, n)
			.response()
			.map((r) -> result(r.status().code()))
			.timeout(Duration.ofMillis(TIMEOUT_MS), this.loop.scheduler())
			.onErrorMap((ex) -> lost(o.worker(), ex));
	}

	private static OrderResult result(int status) {
		return switch (status) {
			case OK, ACCEPTED -> OrderResult.ACCEPTED;
			case CONFLICT -> OrderResult.CONFLICT;
			case LOWER_FENCE -> OrderResult.FENCED;
			case AnswerDecoder.MISDIRECTED -> OrderResult.REPLACED;
			default -> OrderResult.REFUSED;
		};
	}

	private static EngineLostException lost(WorkerInfo worker, Throwable ex) {
		return new EngineLostException("The worker gave no answer: " + ex, worker.id(), ex);
	}

}
