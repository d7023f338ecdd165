import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers with small requests keep their connections to one entry VM, while others read
 * documents of which a worker writes each in 3.2 s; in bursts these are more. Counts
 * the small requests without an answer half a second after their route's timeout.
 */
public final class LargeAnswers {

	private static final int READERS = 186;

	private static final int SMALL_CALLERS = 5;

	// More readers while many users come at once: 1.9 times the usual.
	private static final double BURST = 1.9;

	private static final long BURST_MS = 10_000;

	private static final int BURSTS = 3;

	private static final long BETWEEN_MS = 7_000;

	// The usual callers come one after the other.
	private static final long START_MS = 4_000;

	private static final long TIMEOUT_MS = 800;

	private static final int ANSWER_BYTES = 250_000;

	private static final long WRITE_MS = 3_200;

	private static final int DOCUMENT_WORKERS = 8;

	private static final int DOCUMENT_PLACES = 64;

	public static void main(String[] args) throws Exception {
		Path repository = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path tmp = Files.createTempDirectory("large-answers");
		PlatformStore store = new PlatformStore();
		store.put("op/config", "{\"version\":7,\"routes\":[" + route("portal", "/portal/", TIMEOUT_MS, "app") + ","
				+ route("document", "/document/", 14_000, "documents") + "],\"services\":[" + service("app", 110) + ","
				+ service("documents", 370) + "],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			workers.add(new Worker("w" + i, store, "app", 60));
		}
		for (int i = 0; i < DOCUMENT_WORKERS; i++) {
			workers.add(new Worker("d" + i, store, "documents", DOCUMENT_PLACES, WRITE_MS, ANSWER_BYTES));
		}
		EntryVm vm = new EntryVm(repository, tmp, "front-1", store.port());
		int status = 2;
		try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])))) {
			vm.start();
			if (vm.awaitReady(30_000)) {
				// Until the machine is in touch.
				Thread.sleep(4_000);
				status = play(vm, workers, trouble, record);
			}
			else {
				record.println("the entry VM did not become ready");
			}
		}
		finally {
			vm.stop();
			store.stop();
			for (Worker w : workers) {
				w.stop();
			}
		}
		System.exit(status);
	}

	private static String route(String name, String prefix, long timeoutMs, String service) {
		return "{\"name\":\"" + name + "\",\"host\":\"portal.example\",\"prefix\":\"" + prefix
				+ "\",\"kind\":\"unsafe\",\"timeout_ms\":" + timeoutMs
				+ ",\"target_latency_ms\":300,\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":1}";
	}

	private static String service(String name, int connections) {
		return "{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"connection_limit\":" + connections
				+ ",\"protocol\":\"h1\",\"tls\":false}";
	}

	private static int play(EntryVm vm, List<Worker> workers, boolean trouble, PrintWriter record)
			throws InterruptedException {
		Counts n = new Counts();
		AtomicBoolean over = new AtomicBoolean();
		List<Thread> usual = new ArrayList<>(readers(vm, "usual", READERS, record, n, over));
		for (int i = 0; i < SMALL_CALLERS; i++) {
			String name = "small-" + i;
			usual.add(new Thread(() -> small(vm, workers, name, record, n, over)));
		}
		Collections.shuffle(usual, new Random(1));
		for (Thread t : usual) {
			t.start();
			Thread.sleep(START_MS / usual.size());
		}
		for (int i = 0; i < BURSTS; i++) {
			Thread.sleep(BETWEEN_MS);
			AtomicBoolean burstOver = new AtomicBoolean();
			int more = trouble ? (int) Math.round((BURST - 1) * READERS) : 0;
			List<Thread> burst = readers(vm, "burst" + i, more, record, n, burstOver);
			burst.forEach(Thread::start);
			Thread.sleep(BURST_MS);
			burstOver.set(true);
		}
		Thread.sleep(BETWEEN_MS);
		over.set(true);
		Thread.sleep(3_000);
		boolean runs = vm.process.isAlive();
		String result = "small requests sent=" + n.sent + " answered=" + n.answered + " still unanswered at the timeout="
				+ n.late + " of these without an answer half a second later=" + n.unanswered
				+ " documents sent=" + n.documents + " read=" + n.read + " entry VM runs=" + runs + " ready="
				+ vm.isReady();
		synchronized (record) {
			record.println(result);
		}
		System.out.println(result);
		return (2 * n.unanswered.get() > n.late.get() && n.late.get() > 10 || !runs) ? 1 : 0;
	}

	private static List<Thread> readers(EntryVm vm, String name, int count, PrintWriter record, Counts n,
			AtomicBoolean over) {
		List<Thread> l = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			String caller = name + "-reader-" + i;
			Thread t = new Thread(() -> read(vm, caller, record, n, over));
			t.setDaemon(true);
			l.add(t);
		}
		return l;
	}

	private static void small(EntryVm vm, List<Worker> workers, String name, PrintWriter record, Counts n,
			AtomicBoolean over) {
		try (Caller c = new Caller(vm.callers)) {
			for (int i = 0; !over.get(); i++) {
				String id = name + "-" + i;
				long sentAt = System.nanoTime();
				int status = c.post("portal.example", "/portal/x", id, 1_500, new byte[600], 0);
				long ms = (System.nanoTime() - sentAt) / 1_000_000;
				n.sent.incrementAndGet();
				n.answered.addAndGet((status > 0) ? 1 : 0);
				n.late.addAndGet((ms > TIMEOUT_MS) ? 1 : 0);
				n.unanswered.addAndGet((ms > TIMEOUT_MS + 500) ? 1 : 0);
				int runs = workers.stream().mapToInt((w) -> w.runs(id)).sum();
				write(record, id + " status=" + status + " ms=" + ms + " runs=" + runs);
				Thread.sleep(200);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void read(EntryVm vm, String name, PrintWriter record, Counts n, AtomicBoolean over) {
		try (Caller c = new Caller(vm.callers)) {
			for (int i = 0; !over.get(); i++) {
				String id = name + "-" + i;
				int status = c.post("portal.example", "/document/x", id, 14_000, new byte[600], 0);
				n.documents.incrementAndGet();
				n.read.addAndGet((status == 200) ? 1 : 0);
				write(record, id + " status=" + status);
				Thread.sleep((status == 200) ? 0 : 500);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void write(PrintWriter record, String line) {
		synchronized (record) {
			record.println(line);
		}
	}

	/**
	 * What was counted. Thread-safe.
	 */
	private static final class Counts {

		private final AtomicInteger sent = new AtomicInteger();

		private final AtomicInteger answered = new AtomicInteger();

		private final AtomicInteger late = new AtomicInteger();

		private final AtomicInteger unanswered = new AtomicInteger();

		private final AtomicInteger documents = new AtomicInteger();

		private final AtomicInteger read = new AtomicInteger();

	}

}
