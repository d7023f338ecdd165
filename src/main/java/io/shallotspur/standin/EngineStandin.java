package io.shallotspur.standin;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.port.PrefillResult;
import io.shallotspur.port.TokenChunk;

/**
 * Imitates the prefill and decode workers of model upstreams, all behind one port.
 * Thread-safe: the state is confined to one thread. {@code GET /debug/state} tells what
 * is held and what was run.
 */
public final class EngineStandin {

	private static final int BAD_REQUEST = 400;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final EngineStandinSettings settings;

	private final Scheduler thread = Schedulers.newSingle("engine-standin", true);

	private final Map<String, StandinWorker> workers = new LinkedHashMap<>();

	private final List<DisposableServer> servers = new CopyOnWriteArrayList<>();

	/**
	 * Creates a stand-in.
	 * @param settings what it imitates
	 */
	public EngineStandin(EngineStandinSettings settings) {
		this.settings = settings;
		for (Worker w : settings.workers()) {
			this.workers.put(w.id(), create(w));
		}
	}

	/**
	 * Starts to listen and to report.
	 * @return the address, {@code host:port}
	 */
	public Mono<String> start() {
		long every = this.settings.reportEveryMs();
		this.thread.schedulePeriodically(this::publishLoad, every, every, TimeUnit.MILLISECONDS);
		return listen(this.settings.host(), this.settings.port());
	}

	/**
	 * Listens on one more address, where all workers are served as well. So each worker
	 * can have an address of its own while transfers between them stay within this
	 * object.
	 * @param host the address to listen on
	 * @param port the port, or 0 for any that is free
	 * @return the address, {@code host:port}
	 */
	public Mono<String> listen(String host, int port) {
		return HttpServer.create()
			.host(host)
			.port(port)
			.handle(CallEcho.on(HttpServerRoutes.newRoutes()
				.get("/debug/state", (req, res) -> json(res, on(this::state)))
				.post("/workers/{id}/prefill/{stream}", this::prefill)
				.post("/workers/{id}/transfer/{stream}", this::transfer)
				.get("/workers/{id}/decode/{stream}", this::decode)
				.delete("/workers/{id}/streams/{stream}", this::cancel)
				.get("/workers/{id}/streams", this::streams)
				.get("/workers/{id}/reports", this::reports)
				.post("/workers/{id}/order", this::order)))
			.bind()
			.doOnNext((s) -> this.servers.add(s))
			.map((s) -> s.host() + ":" + s.port());
	}

	/**
	 * Stops.
	 */
	public void close() {
		this.servers.forEach(DisposableServer::disposeNow);
		this.thread.dispose();
	}

	/**
	 * Returns the workers with the address of this stand-in.
	 * @param address the address from {@link #start()}
	 * @return the workers
	 */
	public List<Worker> workersAt(String address) {
		return this.settings.workers()
			.stream()
			.map((w) -> new Worker(w.id(), w.upstream(), w.hall(), w.role(), address, w.slots(), w.cacheTokens(),
					w.kvTtlMs(), w.linkMbPerS(), w.kvMbPerToken()))
			.toList();
	}

	/**
	 * Crashes a worker; it comes back empty.
	 * @param worker the worker
	 * @param downMs how long it is away, in milliseconds
	 * @return completes when it is down
	 */
	public Mono<Void> crash(String worker, long downMs) {
		return on(() -> {
			find(worker).crash(downMs);
			return true;
		}).then();
	}

	/**
	 * Stalls transfers to a decode worker.
	 * @param worker the worker
	 * @param ms for how long, in milliseconds
	 * @return completes when it stalls
	 */
	public Mono<Void> stall(String worker, long ms) {
		return on(() -> {
			find(worker, DecodeSim.class).stall(ms);
			return true;
		}).then();
	}

	/**
	 * Returns what is held and what was run, by worker.
	 * @return the state
	 */
	public ObjectNode state() {
		ObjectNode n = MAPPER.createObjectNode();
		this.workers.forEach((id, w) -> n.set(id, w.state()));
		return n;
	}

	/**
	 * Returns what is held and what was run, read on the thread that changes it.
	 * @return the state
	 */
	public Mono<ObjectNode> readState() {
		return on(this::state);
	}

	private StandinWorker create(Worker w) {
		return (w.role() == WorkerRole.PREFILL)
				? new PrefillSim(w, this.settings, this.thread, System::currentTimeMillis)
				: new DecodeSim(w, this.settings, this.thread, System::currentTimeMillis);
	}

	private void publishLoad() {
		this.workers.values().forEach((w) -> w.reports().publish(w.load()));
	}

	private Publisher<Void> prefill(HttpServerRequest req, HttpServerResponse res) {
		return answer(res, body(req).flatMap((n) -> this.<PrefillResult>async((sink) -> {
			PrefillSim w = find(param(req, "id"), PrefillSim.class);
			w.prefill(param(req, "stream"), prompt(n), sink);
		}))
			.map((r) -> MAPPER.createObjectNode()
				.put("prompt_tokens", r.promptTokens())
				.put("computed_tokens", r.computedTokens())));
	}

	private Publisher<Void> transfer(HttpServerRequest req, HttpServerResponse res) {
		return answer(res, body(req).flatMap((n) -> this.<Boolean>async((sink) -> {
			String stream = param(req, "stream");
			PrefillSim from = find(n.path("from").asText(), PrefillSim.class);
			find(param(req, "id"), DecodeSim.class).transfer(stream, from.result(stream), from, sink);
		})).map((r) -> MAPPER.createObjectNode()));
	}

	private Publisher<Void> decode(HttpServerRequest req, HttpServerResponse res) {
		long from = Long.parseLong(req.uri().substring(req.uri().indexOf('=') + 1));
		return on(() -> find(param(req, "id"), DecodeSim.class).decode(param(req, "stream"), from))
			.flatMap(
					(tokens) -> events(res, tokens.map(EngineStandin::event).concatWith(Mono.just("data: [DONE]\n\n"))))
			.onErrorResume((ex) -> fault(res, ex));
	}

	private Publisher<Void> cancel(HttpServerRequest req, HttpServerResponse res) {
		return answer(res, on(() -> {
			StandinWorker w = find(param(req, "id"));
			w.checkUp();
			w.cancel(param(req, "stream"));
			return MAPPER.createObjectNode();
		}));
	}

	private Publisher<Void> streams(HttpServerRequest req, HttpServerResponse res) {
		return answer(res, on(() -> {
			StandinWorker w = find(param(req, "id"));
			w.checkUp();
			ObjectNode n = MAPPER.createObjectNode();
			w.streams().forEach(n.putArray("streams")::add);
			return n;
		}));
	}

	private Publisher<Void> reports(HttpServerRequest req, HttpServerResponse res) {
		return on(() -> {
			StandinWorker w = find(param(req, "id"));
			w.checkUp();
			return w.reports().follow(w.load());
		}).flatMap((r) -> events(res, r.map((x) -> "data: " + x + "\n\n"))).onErrorResume((ex) -> fault(res, ex));
	}

	private Publisher<Void> order(HttpServerRequest req, HttpServerResponse res) {
		return answer(res, body(req).flatMap((n) -> on(() -> {
			find(param(req, "id")).order(n.path("fencingToken").asLong(), this.settings.checkFencing());
			return MAPPER.createObjectNode();
		})));
	}

	private <T> Mono<T> on(Callable<T> task) {
		return Mono.fromCallable(task).subscribeOn(this.thread);
	}

	private <T> Mono<T> async(Consumer<MonoSink<T>> task) {
		return Mono.<T>create((sink) -> this.thread.schedule(() -> {
			try {
				task.accept(sink);
			}
			catch (RuntimeException ex) {
				sink.error(ex);
			}
		}));
	}

	private StandinWorker find(String id) {
		StandinWorker w = this.workers.get(id);
		if (w == null) {
			throw StandinFault.refused("There is no such worker.");
		}
		return w;
	}

	private <T extends StandinWorker> T find(String id, Class<T> type) {
		StandinWorker w = find(id);
		if (!type.isInstance(w)) {
			throw StandinFault.refused("The worker has another role.");
		}
		return type.cast(w);
	}

	private static String param(HttpServerRequest req, String name) {
		String v = req.param(name);
		return (v != null) ? v : "";
	}

	private static StandinPrompt prompt(JsonNode n) {
		try {
			return StandinPrompt.read(n.path("request"), n.path("resumed").asText());
		}
		catch (Exception ex) {
			throw StandinFault.refused(ex.getMessage());
		}
	}

	private static Mono<JsonNode> body(HttpServerRequest req) {
		return req.receive().aggregate().asByteArray().flatMap((b) -> Mono.fromCallable(() -> MAPPER.readTree(b)));
	}

	private static String event(TokenChunk t) {
		return "data: {\"i\":" + t.index() + ",\"t\":\"" + t.text() + "\"}\n\n";
	}

	private static Mono<Void> events(HttpServerResponse res, Flux<String> events) {
		return res.header("Content-Type", "text/event-stream")
			.send(events.map((e) -> res.alloc().buffer().writeBytes(e.getBytes(StandardCharsets.UTF_8))), (b) -> true)
			.then();
	}

	private static Publisher<Void> json(HttpServerResponse res, Mono<ObjectNode> n) {
		return answer(res, n);
	}

	private static Mono<Void> answer(HttpServerResponse res, Mono<ObjectNode> n) {
		return n
			.flatMap((x) -> res.header("Content-Type", "application/json").sendString(Mono.just(x.toString())).then())
			.onErrorResume((ex) -> fault(res, ex));
	}

	private static Mono<Void> fault(HttpServerResponse res, Throwable ex) {
		if (ex instanceof StandinFault f && f.closes()) {
			res.withConnection((c) -> c.dispose());
			return Mono.empty();
		}
		int status = (ex instanceof StandinFault f) ? f.status() : BAD_REQUEST;
		return res.hasSentHeaders() ? Mono.error(ex) : res.status(status).send().then();
	}

}
