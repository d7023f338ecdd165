package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

/**
 * A worker leaves an order unanswered, and the VM that gives orders loses its network
 * paths to the workers. Arguments: the folder of the case, and whether both happen.
 */
public final class Orders {

	private static final String CONFIG = """
			{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/draft/","kind":"streaming",
			"timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"llm","max_attempts":1,
			"session_affinity":true,"allow_resume":false,"target_gap_ms":300}],
			"services":[{"name":"llm","health_path":"/health","connection_limit":300,"protocol":"h1","tls":false,
			"engine":{"slots":48,"kv_cache_tokens":42411,"kv_token_bytes":327680,"link_mbps":3300000.0,"moves":true,
			"backups":true,"stride":12,"most":12,"kv_handle_s":0.5,"switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,
			"models":[{"name":"m"}]}}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
			"idle_timeout_ms":15000}}""";

	// The first two are there from the start, and one of them gives the orders. The others
	// are added in the zone of the other one. Callers are directed to one machine of each
	// zone, so the one that gives the orders also has requests.
	private static final String[] MACHINES = { "frontend-1", "frontend-2", "frontend-3", "frontend-4" };

	private static final int FIRST_MACHINES = 2;

	private static final int WORKERS = 10;

	private static final int PREFILL_WORKERS = 4;

	private static final long REQUEST_EVERY_MS = 100;

	// Prompt and answer. More of the workers are needed for decoding than at the start.
	private static final String TOKENS = "320,1500";

	private static final int PREFIX_TOKENS = 200;

	private static final int OWN_TOKENS = 120;

	private static final long CUT_AFTER_MS = 400;

	private static final long CUT_MS = 5_000;

	private static final long REST_MS = 8_000;

	// Orders that arrive this soon after a link has healed do not count.
	private static final long THAW_SLACK_MS = 300;

	private static final long LIMIT_MS = 60_000;

	private final Map<String, Map<Long, Set<String>>> machinesByToken = new LinkedHashMap<>();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger failed = new AtomicInteger();

	private final AtomicLong lastId = new AtomicLong(0x9c41d07be2a30000L);

	private final Map<String, Integer> ordersByWorker = new TreeMap<>();

	private volatile Record record;

	private volatile String leader = "";

	private volatile long healedAt = Long.MIN_VALUE / 2;

	private volatile List<String> addresses = List.of();

	public static void main(String[] args) throws Exception {
		int code = 2;
		try (Record record = new Record(Path.of(args[0], "record.txt"))) {
			try {
				code = new Orders().run(record, !args[1].equals("0"));
			}
			catch (IOException ex) {
				record.line("could not run: " + ex);
			}
			record.line("exit " + code);
		}
		System.exit(code);
	}

	private int run(Record record, boolean trouble) throws Exception {
		this.record = record;
		Path dir = Files.createTempDirectory("review");
		Store store = new Store();
		store.put("op/config", CONFIG.replace("\n", ""));
		List<ModelWorker> workers = new ArrayList<>();
		for (int i = 0; i < WORKERS; i++) {
			workers.add(new ModelWorker("i-" + (char) ('a' + i), store, "llm",
					(i < PREFILL_WORKERS) ? "prefill" : "decode", 6_000, record, this::onOrder, MACHINES));
		}
		List<Vm> vms = new CopyOnWriteArrayList<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::killNow)));
		for (int i = 0; i < FIRST_MACHINES; i++) {
			vms.add(new Vm(MACHINES[i], "z-" + (i + 1), store.address(view(workers, MACHINES[i])), dir, 430));
		}
		start(vms);
		record.line("first machines ready");
		await(record, "no machine leads", () -> !store.get("duties/stages").isEmpty());
		this.leader = vms.get(store.get("duties/stages").contains(":" + vms.get(0).callers + "/") ? 0 : 1).name;
		record.line(this.leader + " gives the orders");
		Worker.thread("directory", () -> resolve(vms));
		Worker.thread("clients", this::sendRequests);
		String otherZone = this.leader.equals(MACHINES[0]) ? "z-2" : "z-1";
		for (int i = FIRST_MACHINES; i < MACHINES.length; i++) {
			vms.add(new Vm(MACHINES[i], otherZone, store.address(view(workers, MACHINES[i])), dir, 430));
		}
		start(vms.subList(FIRST_MACHINES, vms.size()));
		record.line("added machines ready");
		play(record, trouble, workers);
		record.line("requests served=" + this.served + " failed=" + this.failed + " orders=" + this.ordersByWorker);
		return judge(record);
	}

	private static void start(List<Vm> vms) throws Exception {
		for (Vm vm : vms) {
			vm.start();
		}
		for (Vm vm : vms) {
			vm.awaitReady(20_000);
		}
	}

	// Callers ask which addresses to use once a second.
	private void resolve(List<Vm> vms) {
		while (true) {
			for (Vm vm : vms) {
				List<String> l = vm.resolve("a.example");
				if (!l.isEmpty()) {
					this.addresses = l;
					break;
				}
			}
			pause(1_000);
		}
	}

	private static void pause(long ms) {
		try {
			Thread.sleep(ms);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// Each machine sees the workers at addresses of its own, so that its path can be cut.
	private static UnaryOperator<String> view(List<ModelWorker> workers, String machine) {
		return (value) -> {
			String seen = value;
			for (ModelWorker w : workers) {
				seen = seen.replace('"' + w.worker.address(MACHINES[0]) + '"',
						'"' + w.worker.address(machine) + '"');
			}
			return seen;
		};
	}

	private void play(Record record, boolean trouble, List<ModelWorker> workers) throws Exception {
		if (trouble) {
			AtomicInteger given = new AtomicInteger();
			workers.forEach((w) -> w.setAppliesOrdersLate(() -> given.getAndIncrement() == 0));
		}
		await(record, "no order was given", () -> orders() > 0);
		Thread.sleep(CUT_AFTER_MS);
		if (trouble) {
			for (ModelWorker w : workers) {
				w.worker.cut(this.leader);
			}
			record.line("paths from " + this.leader + " to all workers cut");
			Thread.sleep(CUT_MS);
			this.healedAt = record.ms();
			for (ModelWorker w : workers) {
				w.worker.heal(this.leader);
			}
			record.line("paths healed");
		}
		Thread.sleep(REST_MS);
	}

	private static void await(Record record, String failure, BooleanSupplier done) throws Exception {
		long end = record.ms() + LIMIT_MS / 2;
		while (!done.getAsBoolean()) {
			if (record.ms() > end) {
				throw new IOException(failure);
			}
			Thread.sleep(20);
		}
	}

	private synchronized int orders() {
		return this.ordersByWorker.size();
	}

	private synchronized int orders(String worker) {
		return this.ordersByWorker.getOrDefault(worker, 0);
	}

	private synchronized void onOrder(String worker, String machine, long token, long ms) {
		this.ordersByWorker.merge(worker, 1, Integer::sum);
		if (ms - this.healedAt > THAW_SLACK_MS || ms < this.healedAt) {
			this.machinesByToken.computeIfAbsent(worker, (w) -> new LinkedHashMap<>())
				.computeIfAbsent(token, (t) -> new LinkedHashSet<>())
				.add(machine);
		}
	}

	private void sendRequests() {
		for (int n = 0;; n++) {
			List<String> l = this.addresses;
			if (!l.isEmpty()) {
				String address = l.get(n % l.size());
				Worker.thread("client", () -> request(address));
			}
			pause(REQUEST_EVERY_MS);
		}
	}

	private void request(String address) {
		String id = Long.toHexString(this.lastId.incrementAndGet());
		try (Socket s = new Socket("127.0.0.1", Integer.parseInt(address.substring(address.indexOf(':') + 1)))) {
			s.setSoTimeout(14_000);
			s.getOutputStream()
				.write(("POST /draft/2f HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
						+ "\r\nX-Model: m\r\nX-Token-Count: " + TOKENS + "\r\nX-Prompt-Prefix: 5c1e07a2:" + PREFIX_TOKENS + ","
						+ id + ":" + OWN_TOKENS
						+ "\r\nX-Deadline-Ms: 14000\r\nContent-Length: 2\r\n\r\nhi")
					.getBytes(StandardCharsets.ISO_8859_1));
			Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
			boolean ok = m != null && m.status() == 200;
			count(ok, id, (m != null) ? "status " + m.status() : "closed");
		}
		catch (IOException ex) {
			count(false, id, ex.toString());
		}
	}

	private void count(boolean ok, String id, String seen) {
		(ok ? this.served : this.failed).incrementAndGet();
		if (!ok && this.record != null) {
			this.record.line("request " + id + " failed: " + seen);
		}
	}

	private synchronized int judge(Record record) throws IOException {
		int code = 0;
		for (Map.Entry<String, Map<Long, Set<String>>> w : this.machinesByToken.entrySet()) {
			for (Map.Entry<Long, Set<String>> t : w.getValue().entrySet()) {
				if (t.getValue().size() > 1) {
					record.line("BROKEN: orders to " + w.getKey() + " with fencing token " + t.getKey()
							+ " came from machines " + t.getValue());
					code = 1;
				}
			}
		}
		return code;
	}

}
