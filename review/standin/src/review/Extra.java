package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Faulty workers give some of their answers a second time, late. Arguments: the folder of
 * the case, and whether the workers are faulty.
 */
public final class Extra {

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

	private static final int MACHINES = 3;

	private static final int WORKERS = 5;

	private static final int PREFILL_WORKERS = 2;

	// Of five workers: a share of 0.6.
	private static final int FAULTY_WORKERS = 3;

	private static final double FAULTY_ANSWERS = 0.03;

	private static final long FAULTY_MS = 5_000;

	private static final long SOUND_MS = 2_000;

	private static final int PERIODS = 6;

	private static final int DEADLINE_MS = 14_000;

	// Somewhat more than the decode workers have memory for.
	private static final double REQUESTS_PER_S = 42;

	private static final String TOKENS = "3000,240";

	private final AtomicLong lastId = new AtomicLong(0x9c41d07be2a30000L);

	private final Set<String> ran = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> answers = new TreeMap<>();

	private volatile Record record;

	private volatile boolean faulty;

	private volatile boolean ending;

	private int broken;

	public static void main(String[] args) throws Exception {
		int code = 2;
		try (Record record = new Record(Path.of(args[0], "record.txt"))) {
			try {
				code = new Extra().run(record, !args[1].equals("0"));
			}
			catch (IOException ex) {
				record.line("could not run: " + ex);
			}
			record.line("exit " + code);
		}
		System.exit(code);
	}

	private int run(Record to, boolean trouble) throws Exception {
		this.record = to;
		Path dir = Files.createTempDirectory("review");
		Store store = new Store();
		store.put("op/config", CONFIG.replace("\n", ""));
		for (int i = 0; i < WORKERS; i++) {
			ModelWorker w = new ModelWorker("i-" + (char) ('a' + i), store, "llm",
					(i < PREFILL_WORKERS) ? "prefill" : "decode", 6_000, to, (id, m, t, ms) -> {
					}, "all");
			w.setRunListener(this.ran::add);
			if (i >= WORKERS - FAULTY_WORKERS) {
				Random random = new Random(i);
				w.setAnswersTwice(() -> this.faulty && random.nextDouble() < FAULTY_ANSWERS);
			}
		}
		List<Vm> vms = new ArrayList<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::killNow)));
		for (int i = 0; i < MACHINES; i++) {
			vms.add(new Vm("frontend-" + (i + 1), "z-" + (i + 1), store.address(), dir, 430));
		}
		for (Vm vm : vms) {
			vm.start();
		}
		for (Vm vm : vms) {
			vm.awaitReady(20_000);
		}
		Thread.sleep(2_000);
		List<String> addresses = vms.get(0).resolve("a.example");
		to.line("ready, callers use " + addresses);
		Worker.thread("callers", () -> callAgain(addresses));
		for (int n = 0; n < PERIODS; n++) {
			this.faulty = trouble;
			to.line(trouble ? "workers are faulty" : "workers are sound");
			Thread.sleep(FAULTY_MS);
			this.faulty = false;
			Thread.sleep(SOUND_MS);
		}
		this.ending = true;
		Thread.sleep(DEADLINE_MS);
		synchronized (this) {
			to.line("answers=" + this.answers + " requests run=" + this.ran.size() + " broken=" + this.broken);
			return (this.broken > 0) ? 1 : 0;
		}
	}

	private void callAgain(List<String> addresses) {
		Random random = new Random(1);
		for (int n = 0; !this.ending; n++) {
			String address = addresses.get(n % addresses.size());
			Worker.thread("caller", () -> call(address));
			try {
				Thread.sleep(Math.min(500, (long) (-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_PER_S)));
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void call(String address) {
		int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
		String id = Long.toHexString(this.lastId.incrementAndGet());
		try (Socket s = new Socket("127.0.0.1", port)) {
			s.setSoTimeout(DEADLINE_MS);
			s.getOutputStream()
				.write(("POST /draft/2f HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id
						+ "\r\nX-Model: m\r\nX-Token-Count: " + TOKENS + "\r\nX-Prompt-Prefix: 5c1e07a2:200," + id
						+ ":2800\r\nX-Deadline-Ms: " + DEADLINE_MS + "\r\nContent-Length: 2\r\n\r\nhi")
					.getBytes(StandardCharsets.ISO_8859_1));
			Http.Message m = Http.read(new BufferedInputStream(s.getInputStream()));
			judge(id, (m != null) ? Integer.toString(m.status()) : "closed");
		}
		catch (IOException ex) {
			judge(id, "broken off");
		}
	}

	// 429 and 503 say that the request has not run.
	private synchronized void judge(String id, String answer) {
		this.answers.merge(answer, 1, Integer::sum);
		if ((answer.equals("503") || answer.equals("429")) && this.ran.contains(id)) {
			this.broken++;
			this.record.line("BROKEN: " + id + " was answered " + answer + " and has run");
		}
	}

}
