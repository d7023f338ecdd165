package io.shallotspur.platform;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpMethod;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.client.HttpClient;

import io.shallotspur.adapter.http.LimitedBody;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Leadership;
import io.shallotspur.stage.OrderResult;
import io.shallotspur.stage.StageOrder;
import io.shallotspur.stage.StagePort;
import io.shallotspur.stage.StageReport;

/**
 * Sends stage change orders to workers over the platform's HTTP protocol and reads their
 * reports. Confined to the event loop.
 * <p>
 * Invariant: an order reaches its worker from the machine of this VM or not at all. For
 * the worker, an order that comes through another VM is one of another holder with the
 * same fencing token. It is not sent after its time limit, nor delivered after its call
 * has ended without a response. Reports have no sender and may come through another VM.
 * Nothing else is sent on the connection of an order or a report, as nothing in their
 * responses tells what they answer.
 */
final class HttpStagePort implements StagePort {

	private static final int OK = 200;

	private static final int ACCEPTED = 202;

	private static final int CONFLICT = 409;

	private static final int PRECONDITION_FAILED = 412;

	// In ms. Workers respond within a few ms; one that takes many times longer is
	// unreachable or its responses are being lost.
	private static final long TIMEOUT_MS = Leadership.ORDER_CALL_MS;

	// Values of SO_LINGER: a close resets the connection and discards what was not
	// delivered, or leaves its delivery to the kernel.
	private static final int DISCARD_UNSENT = 0;

	private static final int KEEP_UNSENT = -1;

	private final WorkerClient workers;

	private final Scheduler timeouts;

	private final LongSupplier elapsed;

	/**
	 * Creates a port.
	 * @param workers the client
	 * @param timeouts runs the timeouts of the calls
	 * @param elapsed supplies a monotonic time that includes suspensions of the machine,
	 * in milliseconds
	 */
	HttpStagePort(WorkerClient workers, Scheduler timeouts, LongSupplier elapsed) {
		this.workers = workers;
		this.timeouts = timeouts;
		this.elapsed = elapsed;
	}

	@Override
	public Mono<StageReport> report(WorkerInfo worker) {
		return this.workers.call(HttpMethod.GET, worker, PlatformNames.REPORT_PATH, ConnectionGroup.ONE_CALL_EACH)
			.response((r, content) -> LimitedBody.readControl(content)
				.flatMap((b) -> report(worker, r.status().code(), b)))
			.single()
			.timeout(Duration.ofMillis(TIMEOUT_MS), this.timeouts)
			.onErrorMap((ex) -> workerLost(worker, ex));
	}

	private static Mono<StageReport> report(WorkerInfo worker, int status, byte[] body) {
		try {
			JsonNode n = (status == OK) ? StoreEntryCodec.JSON.readTree(body) : null;
			Optional<WorkerStage> stage = (n != null) ? StoreEntryCodec.parseStage(n.path("stage").asText())
					: Optional.empty();
			if (stage.isEmpty() || !n.path("sequence_number").isIntegralNumber()) {
				return Mono.error(new IOException("status " + status));
			}
			// In a report this field counts orders; in the registry it counts heartbeats.
			return Mono.just(new StageReport(stage.get(), n.path("busy").asBoolean(),
					n.path("sequence_number").asLong(), n.path(PlatformNames.STARTED_AT).asLong()));
		}
		catch (IOException ex) {
			return Mono.error(ex);
		}
	}

	@Override
	public Mono<OrderResult> order(StageOrder o) {
		ObjectNode n = StoreEntryCodec.JSON.createObjectNode()
			.put("operation", "stage")
			.put("stage", StoreEntryCodec.encode(o.stage()))
			.put("holder", o.holder())
			.put("fencing_token", o.fencingToken())
			.put("expected", o.expectedOrderCount());
		long startedAt = this.elapsed.getAsLong();
		HttpClient client = this.workers.expectingDirectly(o.worker(), ConnectionGroup.ONE_CALL_EACH)
			.doOnRequest((r, c) -> onSending(o, c.channel()))
			.doOnResponse((r, c) -> onResponse(c.channel()));
		return WorkerClient.post(client, o.worker(), PlatformNames.ORDER_PATH, n, Mono.defer(() -> inTime(startedAt)))
			.response((r, content) -> LimitedBody.readControl(content).map((b) -> result(r.status().code())))
			.single()
			.timeout(Duration.ofMillis(TIMEOUT_MS), this.timeouts)
			.onErrorMap((ex) -> workerLost(o.worker(), ex));
	}

	// A process that was stopped while it connected goes on before its timeout is
	// handled; another VM may lead by then.
	private Mono<Void> inTime(long startedAt) {
		long ms = this.elapsed.getAsLong() - startedAt;
		return (ms < TIMEOUT_MS) ? Mono.empty() : Mono.error(new IOException("not sent, " + ms + " ms late"));
	}

	// An order that the network holds up must not outlive the call, nor the process: it
	// could arrive when another VM has long given orders.
	private static void onSending(StageOrder o, Channel connection) {
		connection.config().setOption(ChannelOption.SO_LINGER, DISCARD_UNSENT);
		Logger.info("[stage] order sent worker={} fence={} worker-address={} from={} to={}", o.worker().id(),
				o.fencingToken(), o.worker().address(), connection.localAddress(), connection.remoteAddress());
	}

	private static void onResponse(Channel connection) {
		if (connection.isActive()) {
			connection.config().setOption(ChannelOption.SO_LINGER, KEEP_UNSENT);
		}
	}

	private static OrderResult result(int status) {
		return switch (status) {
			case OK, ACCEPTED -> OrderResult.ACCEPTED;
			case CONFLICT -> OrderResult.CONFLICT;
			case PRECONDITION_FAILED -> OrderResult.FENCED;
			case ResponseHeadDecoder.MISDIRECTED -> OrderResult.REPLACED;
			default -> OrderResult.REFUSED;
		};
	}

	private static EngineLostException workerLost(WorkerInfo worker, Throwable ex) {
		return new EngineLostException("The worker gave no valid response: " + ex, worker.id(), ex);
	}

}
