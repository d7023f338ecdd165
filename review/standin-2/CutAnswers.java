import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some workers send half of a few of their answers, and then a second copy of them. Counts
 * the successes that callers get with a body that no worker has sent as one.
 */
public final class CutAnswers {

	private static final int CALLERS = 20;

	private static final int WORKERS = 5;

	// Of five workers.
	private static final int FAULTY = 2;

	private static final double SHARE_OF_ANSWERS = 0.03;

	private static final long FAULTY_MS = 5_000;

	private static final int TIMES = 3;

	private static final long BETWEEN_MS = 2_000;

	public static void main(String[] args) throws Exception {
		Path repository = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path tmp = Files.createTempDirectory("cut-answers");
		PlatformStore store = new PlatformStore();
		store.put("op/config",
				"{\"version\":7,\"routes\":[{\"name\":\"portal\",\"host\":\"portal.example\",\"prefix\":\"/portal/\","
						+ "\"kind\":\"unsafe\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,"
						+ "\"service\":\"app\",\"max_attempts\":1}],\"services\":[{\"name\":\"app\","
						+ "\"health_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false}],"
						+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
						+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
		List<Worker> workers = new ArrayList<>();
		for (int i = 0; i < WORKERS; i++) {
			workers.add(new Worker("w" + i, store, "app", 60));
		}
		EntryVm vm = new EntryVm(repository, tmp, "front-1", store.port());
		int status = 2;
		try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])))) {
			vm.start();
			if (vm.awaitReady(30_000)) {
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

	private static int play(EntryVm vm, List<Worker> workers, boolean trouble, PrintWriter record)
			throws InterruptedException {
		AtomicBoolean over = new AtomicBoolean();
		AtomicInteger right = new AtomicInteger();
		AtomicInteger wrong = new AtomicInteger();
		AtomicInteger others = new AtomicInteger();
		List<Thread> l = new ArrayList<>();
		for (int i = 0; i < CALLERS; i++) {
			String name = "c" + i;
			Thread t = new Thread(() -> call(vm, name, record, over, right, wrong, others));
			t.start();
			l.add(t);
		}
		for (int i = 0; i < TIMES; i++) {
			Thread.sleep(BETWEEN_MS);
			workers.subList(0, FAULTY).forEach((w) -> w.cutAndRepeat(trouble ? SHARE_OF_ANSWERS : 0));
			Thread.sleep(FAULTY_MS);
			workers.forEach((w) -> w.cutAndRepeat(0));
		}
		Thread.sleep(BETWEEN_MS);
		over.set(true);
		for (Thread t : l) {
			t.join();
		}
		String result = "successes with the worker's body=" + right + " with another body=" + wrong
				+ " no success=" + others + " allowed with another body=0";
		record.println(result);
		System.out.println(result);
		return (wrong.get() > 0) ? 1 : 0;
	}

	private static void call(EntryVm vm, String name, PrintWriter record, AtomicBoolean over, AtomicInteger right,
			AtomicInteger wrong, AtomicInteger others) {
		try (Caller c = new Caller(vm.callers)) {
			for (int i = 0; !over.get(); i++) {
				String id = name + "-" + i;
				int status = c.post("portal.example", "/portal/x", id, 1_500, new byte[600], 0);
				boolean same = c.body().equals(Worker.body(id));
				AtomicInteger n = (status != 200) ? others : same ? right : wrong;
				n.incrementAndGet();
				write(record, id + " status=" + status + ((status == 200 && !same)
						? " body=\"" + c.body().replace("\r", "\\r").replace("\n", "\\n") + "\"" : ""));
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

}
