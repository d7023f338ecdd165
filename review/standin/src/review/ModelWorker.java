package review;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** A sound stand-in of a model worker: reads prompts, streams answers, takes orders. */
final class ModelWorker {

	private static final int SLOTS = 48;

	// Tokens; "kv_cache_tokens" of the configuration.
	private static final int MEMORY_TOKENS = 42_411;

	private static final long HOLD_MS = 2_000;

	// Tokens of an event; "stride" of the configuration.
	private static final int STRIDE = 12;

	// Orders that get no answer are carried out 2 to 12 s later.
	private static final long LATE_ORDER_MS = 9_000;

	private static final double PREFILL_MS_PER_TOKEN = 0.012;

	private static final double MS_PER_TOKEN = 4;

	private static final AtomicLong NAMES = new AtomicLong(0x3fa09c41b7d5L);

	final Worker worker;

	private final Store store;

	private final String service;

	private final Record record;

	private final long switchMs;

	private final ReentrantLock prefills = new ReentrantLock(true);

	private final AtomicInteger running = new AtomicInteger();

	private volatile String stage;

	private volatile boolean busy;

	private int acceptedOrders;

	private long highestToken = Long.MIN_VALUE;

	private final OrderListener orders;

	private final Map<String, Hold> holds = new ConcurrentHashMap<>();

	// Answers that a faulty worker gives a second time, by connection.
	private final Map<OutputStream, byte[]> lateAnswers = new ConcurrentHashMap<>();

	private volatile BooleanSupplier answersTwice = () -> false;

	private volatile BooleanSupplier appliesOrdersLate = () -> false;

	private volatile Consumer<String> runs = (id) -> {
	};

	ModelWorker(String id, Store store, String service, String stage, long switchMs, Record record,
			OrderListener orders, String... machines) throws IOException {
		this.store = store;
		this.service = service;
		this.stage = stage;
		this.switchMs = switchMs;
		this.record = record;
		this.orders = orders;
		this.worker = new Worker(id, this::handle, machines);
		register();
	}

	private void register() {
		this.worker.register(this.store, this.service, "z-1", SLOTS, this.stage);
	}

	/** Sets which answers are given a second time, late. */
	void setAnswersTwice(BooleanSupplier twice) {
		this.answersTwice = twice;
	}

	/** Sets which orders are left unanswered and carried out some seconds later. */
	void setAppliesOrdersLate(BooleanSupplier late) {
		this.appliesOrdersLate = late;
	}

	/** Sets what is told the id of each request that begins to run. */
	void setRunListener(Consumer<String> listener) {
		this.runs = listener;
	}

	String stage() {
		return this.stage;
	}

	boolean isBusy() {
		return this.busy;
	}

	private void handle(String machine, Http.Message q, OutputStream out) throws IOException, InterruptedException {
		String call = q.method() + " " + q.path();
		if (call.equals("POST /api/order")) {
			order(machine, q, out);
		}
		else if (call.equals("GET /api/report")) {
			json(out, "200 OK", report());
		}
		else if (call.equals("POST /api/hold-take")) {
			hold(q, out);
		}
		else if (q.method().equals("DELETE")) {
			this.holds.remove(q.path().substring(q.path().lastIndexOf('/') + 1));
			json(out, "200 OK", "{}");
		}
		else if (this.busy || this.running.get() >= SLOTS) {
			refuse(q, out);
		}
		else if (q.field("X-Stage", "decode").equals(this.stage)) {
			run(q, out);
		}
		else {
			send(out, "421 Misdirected Request", "X-Instance-Id: " + this.worker.id + "\r\nX-Request-Id: "
					+ q.field("X-Request-Id", "") + "\r\n", new byte[0]);
		}
	}

	private void json(OutputStream out, String status, String body) throws IOException {
		send(out, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
	}

	private synchronized String report() {
		return "{\"stage\":\"" + this.stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":"
				+ this.busy + ",\"sequence_number\":" + this.acceptedOrders + ",\"waiting\":0,\"running\":"
				+ this.running + ",\"kv_used\":0,\"kv_total\":42411,\"kv_handles\":0}";
	}

	private void hold(Http.Message q, OutputStream out) throws IOException {
		int tokens = ((Number) ((Map<?, ?>) Json.parse(new String(q.body(), StandardCharsets.UTF_8))).get("tokens"))
			.intValue();
		String name = takeHold(tokens);
		if (name.isEmpty()) {
			refuse(q, out);
		}
		else {
			json(out, "200 OK", "{\"hold\":\"" + name + "\"}");
		}
	}

	// Returns the name of the reservation; empty if there is no room.
	private synchronized String takeHold(int tokens) {
		long now = System.nanoTime();
		this.holds.values().removeIf((h) -> h.end() < now);
		int held = this.holds.values().stream().mapToInt(Hold::tokens).sum();
		boolean room = this.holds.size() < SLOTS && held + tokens <= MEMORY_TOKENS;
		if (this.busy || !this.stage.equals("decode") || !room) {
			return "";
		}
		String name = Long.toHexString(NAMES.incrementAndGet());
		this.holds.put(name, new Hold(tokens, now + HOLD_MS * 1_000_000));
		return name;
	}

	private void refuse(Http.Message q, OutputStream out) throws IOException {
		String id = q.field("X-Request-Id", "");
		send(out, "503 Service Unavailable",
				"X-Not-Executed: 1\r\n" + (id.isEmpty() ? "" : "X-Request-Id: " + id + "\r\n"), new byte[0]);
	}

	// Sends what is late on this connection first.
	private void send(OutputStream out, String status, String fields, byte[] body) throws IOException {
		byte[] late = this.lateAnswers.remove(out);
		if (late != null) {
			out.write(late);
		}
		byte[] answer = Worker.message(status, fields, body);
		out.write(answer);
		out.flush();
		if (this.answersTwice.getAsBoolean()) {
			this.lateAnswers.put(out, answer);
		}
	}

	private void order(String machine, Http.Message q, OutputStream out) throws IOException, InterruptedException {
		Map<?, ?> o = (Map<?, ?>) Json.parse(new String(q.body(), StandardCharsets.UTF_8));
		long token = ((Number) o.get("fencing_token")).longValue();
		String target = (String) o.get("stage");
		int expected = ((Number) o.get("expected")).intValue();
		boolean late = this.appliesOrdersLate.getAsBoolean();
		String status = late ? "" : decide(token, target, expected);
		this.record.line("order at " + this.worker.id + " from machine " + machine + " holder=" + o.get("holder")
				+ " fencing_token=" + token + " stage=" + target + " expected=" + expected
				+ (late ? " left unanswered" : " answered " + status));
		this.orders.onOrder(this.worker.id, machine, token, this.record.ms());
		if (late) {
			Thread.sleep(LATE_ORDER_MS);
			this.record.line("late order at " + this.worker.id + ": " + decide(token, target, expected));
			throw new IOException("no answer to an order that is carried out late");
		}
		json(out, status, "{}");
	}

	private synchronized String decide(long token, String target, int expected) {
		if (token < this.highestToken) {
			return "412 Precondition Failed";
		}
		this.highestToken = token;
		if (this.busy || expected != this.acceptedOrders) {
			return "409 Conflict";
		}
		if (target.equals(this.stage)) {
			return "200 OK";
		}
		this.acceptedOrders++;
		this.busy = true;
		Worker.thread("stage " + this.worker.id, () -> changeStage(target));
		return "202 Accepted";
	}

	// Running work ends first; the worker is back some seconds later.
	private void changeStage(String target) {
		try {
			while (this.running.get() > 0) {
				Thread.sleep(10);
			}
			Thread.sleep(this.switchMs);
			this.stage = target;
			register();
			this.busy = false;
			this.record.line("worker " + this.worker.id + " is at stage " + target);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void run(Http.Message q, OutputStream out) throws IOException, InterruptedException {
		this.running.incrementAndGet();
		try {
			String[] tokens = q.field("X-Token-Count", "0,0").split(",");
			if (this.stage.equals("prefill")) {
				prefill(Integer.parseInt(tokens[0]) * PREFILL_MS_PER_TOKEN);
				String body = "{\"kv_handle\":\"" + Long.toHexString(NAMES.incrementAndGet()) + "\",\"tokens\":" + tokens[0]
						+ ",\"version\":1}";
				send(out, "200 OK", "Content-Type: application/json\r\nX-Request-Id: " + q.field("X-Request-Id", "")
						+ "\r\n", body.getBytes(StandardCharsets.UTF_8));
				return;
			}
			this.holds.computeIfPresent(q.field("X-Hold", ""), (n, h) -> new Hold(h.tokens(), Long.MAX_VALUE));
			if (q.field("X-Kv-Source", "").isEmpty()) {
				prefill(2 * Integer.parseInt(tokens[0]) * PREFILL_MS_PER_TOKEN);
			}
			stream(q, out, Integer.parseInt(tokens[1]));
		}
		finally {
			this.holds.remove(q.field("X-Hold", ""));
			this.running.decrementAndGet();
		}
	}

	private void prefill(double ms) throws InterruptedException {
		this.prefills.lock();
		try {
			Thread.sleep((long) ms);
		}
		finally {
			this.prefills.unlock();
		}
	}

	// A request runs from its first token on.
	private void stream(Http.Message q, OutputStream out, int tokens) throws IOException, InterruptedException {
		for (int id = 1; (id - 1) * STRIDE < tokens; id++) {
			Thread.sleep((long) (STRIDE * MS_PER_TOKEN));
			if (id == 1) {
				this.runs.accept(q.field("X-Request-Id", ""));
				startStream(q, out);
			}
			String event = "id: " + id + "\ndata: " + q.field("X-Request-Id", "") + " " + id + "\n\n";
			out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private void startStream(Http.Message q, OutputStream out) throws IOException {
		byte[] late = this.lateAnswers.remove(out);
		if (late != null) {
			this.record.line("worker " + this.worker.id + " runs " + q.field("X-Request-Id", "")
					+ " and first gives again what it answered before on this connection: "
					+ new String(late, StandardCharsets.ISO_8859_1).strip().replace("\r\n", " | "));
			out.write(late);
		}
		String head = "HTTP/1.1 200 OK\r\n" + Worker.signed(q).replace("application/octet-stream", "text/event-stream")
				+ "Transfer-Encoding: chunked\r\n\r\n";
		out.write(head.getBytes(StandardCharsets.ISO_8859_1));
	}

	private record Hold(int tokens, long end) {
	}

	/** Is told of each order that reaches a worker. */
	interface OrderListener {

		void onOrder(String worker, String machine, long token, long ms);

	}

}
