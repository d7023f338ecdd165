import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers with small requests keep their connections to one entry VM, while a burst of
 * others uploads bodies that are as long as the operator's limit allows. Counts the small
 * requests that a worker has run and whose kept connection was closed without an answer.
 */
public final class LargeBodies {

	private static final int UPLOADERS = 6;

	private static final int SMALL_CALLERS = 20;

	// More of both while many users come at once: 2.2 times the usual.
	private static final double BURST = 2.2;

	private static final long BURST_MS = 4_000;

	private static final int BURSTS = 3;

	private static final long BETWEEN_MS = 5_000;

	// The rule allows three.
	private static final int ALLOWED = 3;

	// Within the operator's limit of 4,194,304.
	private static final int BODY_BYTES = 4_000_000;

	// After each 64 KiB: a caller sends about 4 MB a second.
	private static final long PAUSE_MS = 16;

	public static void main(String[] args) throws Exception {
		Path repository = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path tmp = Files.createTempDirectory("large-bodies");
		PlatformStore store = new PlatformStore();
		store.put("op/config", "{\"version\":7,\"routes\":["
				+ route("portal", "/portal/", 800, 300) + "," + route("file", "/file/", 14_000, 5_000)
				+ "],\"services\":[{\"name\":\"app\",\"health_path\":\"/health\",\"connection_limit\":110,"
				+ "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
				+ "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			workers.add(new Worker("w" + i, store, "app", 60));
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

	private static String route(String name, String prefix, long timeoutMs, long targetMs) {
		return "{\"name\":\"" + name + "\",\"host\":\"portal.example\",\"prefix\":\"" + prefix
				+ "\",\"kind\":\"unsafe\",\"timeout_ms\":" + timeoutMs + ",\"target_latency_ms\":" + targetMs
				+ ",\"priority\":2,\"service\":\"app\",\"max_attempts\":1}";
	}

	private static int play(EntryVm vm, List<Worker> workers, boolean trouble, PrintWriter record)
			throws InterruptedException {
		Counts n = new Counts();
		AtomicBoolean over = new AtomicBoolean();
		List<Thread> usual = callers(vm, workers, "usual", 1, record, n, over);
		for (int i = 0; i < BURSTS; i++) {
			Thread.sleep(BETWEEN_MS);
			AtomicBoolean burstOver = new AtomicBoolean();
			List<Thread> burst = trouble ? callers(vm, workers, "burst" + i, BURST - 1, record, n, burstOver)
					: List.of();
			Thread.sleep(BURST_MS);
			burstOver.set(true);
			join(burst);
		}
		over.set(true);
		join(usual);
		boolean runs = vm.process.isAlive();
		String result = "small requests sent=" + n.sent + " answered with 200=" + n.answered
				+ " run by a worker and their kept connection closed without an answer=" + n.lost + " allowed="
				+ ALLOWED + " uploads=" + n.uploads + " of them with 200=" + n.uploaded + " entry VM runs=" + runs;
		record.println(result);
		System.out.println(result);
		return (n.lost.get() > ALLOWED || !runs) ? 1 : 0;
	}

	private static List<Thread> callers(EntryVm vm, List<Worker> workers, String name, double times,
			PrintWriter record, Counts n, AtomicBoolean over) {
		List<Thread> l = new ArrayList<>();
		for (int i = 0; i < (int) Math.round(times * SMALL_CALLERS); i++) {
			String caller = name + "-small-" + i;
			l.add(new Thread(() -> small(vm, workers, caller, record, n, over)));
		}
		for (int i = 0; i < (int) Math.round(times * UPLOADERS); i++) {
			String caller = name + "-upload-" + i;
			l.add(new Thread(() -> upload(vm, caller, record, n, over)));
		}
		l.forEach(Thread::start);
		return l;
	}

	private static void join(List<Thread> l) throws InterruptedException {
		for (Thread t : l) {
			t.join();
		}
	}

	private static void small(EntryVm vm, List<Worker> workers, String name, PrintWriter record, Counts n,
			AtomicBoolean over) {
		try (Caller c = new Caller(vm.callers)) {
			for (int i = 0; !over.get(); i++) {
				String id = name + "-" + i;
				boolean kept = c.isKept();
				int status = c.post("portal.example", "/portal/x", id, 1_500, new byte[600], 0);
				n.sent.incrementAndGet();
				int runs = workers.stream().mapToInt((w) -> w.runs(id)).sum();
				write(record, id + " kept-connection=" + kept + " status=" + status + " runs=" + runs);
				if (status == 200) {
					n.answered.incrementAndGet();
				}
				else if (status == Caller.CLOSED && kept && runs > 0) {
					n.lost.incrementAndGet();
				}
				Thread.sleep(200);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void upload(EntryVm vm, String name, PrintWriter record, Counts n, AtomicBoolean over) {
		try (Caller c = new Caller(vm.callers)) {
			for (int i = 0; !over.get(); i++) {
				String id = name + "-" + i;
				int status = c.post("portal.example", "/file/x", id, 14_000, new byte[BODY_BYTES], PAUSE_MS);
				n.uploads.incrementAndGet();
				if (status == 200) {
					n.uploaded.incrementAndGet();
				}
				write(record, id + " status=" + status);
				Thread.sleep(100);
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

		private final AtomicInteger lost = new AtomicInteger();

		private final AtomicInteger uploads = new AtomicInteger();

		private final AtomicInteger uploaded = new AtomicInteger();

	}

}
