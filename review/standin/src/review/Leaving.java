package review;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A VM is told to leave while some of its callers read their answers slowly. Arguments:
 * the folder of the case, and whether the VM is told to leave.
 */
public final class Leaving {

	private static final String CONFIG = """
			{"version":7,"routes":[{"name":"r-1","host":"a.example","prefix":"/read/","kind":"streaming",
			"timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"app","max_attempts":1,
			"session_affinity":false,"allow_resume":false,"target_gap_ms":300}],
			"services":[{"name":"app","health_path":"/health","connection_limit":110,"protocol":"h1","tls":false}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
			"idle_timeout_ms":15000}}""";

	private static final int MACHINES = 3;

	private static final int WORKERS = 3;

	private static final int CALLERS = 6;

	private static final int DEADLINE_MS = 14_000;

	private static final int EVENTS = 150;

	private static final int EVENT_BYTES = 4_000;

	// A caller that reads up to 100 KB a second has its answer within the grace period.
	private static final int READ_BYTES = 5_000;

	private static final int READ_EVERY_MS = 50;

	private static final int RECEIVE_BUFFER_BYTES = 8 << 10;

	private static final long TERMINATE_AFTER_MS = 300;

	private static final long GRACE_MS = 8_000;

	private final Map<String, Long> workerEndedAt = new ConcurrentHashMap<>();

	private volatile Record record;

	private volatile long terminatedAt = Long.MAX_VALUE / 2;

	private volatile boolean broken;

	public static void main(String[] args) throws Exception {
		int code = 2;
		try (Record record = new Record(Path.of(args[0], "record.txt"))) {
			try {
				code = new Leaving().run(record, !args[1].equals("0"));
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
			new Worker("i-" + i, this::answer, "all").register(store, "app", "z-" + (i + 1), 6, null);
		}
		List<Vm> vms = new ArrayList<>();
		Runtime.getRuntime().addShutdownHook(new Thread(() -> vms.forEach(Vm::killNow)));
		for (int i = 0; i < MACHINES; i++) {
			vms.add(new Vm("frontend-" + (i + 1), "z-" + (i + 1), store.address(), dir, 280));
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
		CountDownLatch ended = new CountDownLatch(CALLERS);
		for (int n = 0; n < CALLERS; n++) {
			String id = "9c41d07be2a3" + (n + 10);
			int port = port(addresses.get(n % addresses.size()));
			Worker.thread("caller " + id, () -> {
				call(id, port);
				ended.countDown();
			});
		}
		Thread.sleep(TERMINATE_AFTER_MS);
		if (trouble) {
			int port = port(addresses.get(0));
			Vm vm = vms.stream().filter((v) -> v.callers == port).findFirst().orElseThrow();
			this.terminatedAt = to.ms();
			vm.terminate();
			to.line("SIGTERM to " + vm.name + " at port " + port);
			Worker.thread("exit", () -> awaitExit(vm));
		}
		if (!ended.await(60, TimeUnit.SECONDS)) {
			throw new IOException("a caller has not ended");
		}
		return this.broken ? 1 : 0;
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.indexOf(':') + 1));
	}

	private void awaitExit(Vm vm) {
		try {
			if (vm.awaitExit(2 * GRACE_MS)) {
				this.record.line(vm.name + " ended by itself, " + (this.record.ms() - this.terminatedAt)
						+ " ms after SIGTERM");
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void answer(String machine, Http.Message q, OutputStream out) throws IOException, InterruptedException {
		String id = q.field("X-Request-Id", "");
		this.record.line("worker runs " + id);
		out.write(("HTTP/1.1 200 OK\r\n" + Worker.signed(q).replace("application/octet-stream", "text/event-stream")
				+ "Transfer-Encoding: chunked\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1));
		for (int n = 1; n <= EVENTS; n++) {
			String event = "id: " + n + "\ndata: " + "x".repeat(EVENT_BYTES) + "\n\n";
			out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
			Thread.sleep(2);
		}
		out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
		this.workerEndedAt.put(id, this.record.ms());
		this.record.line("worker has sent the whole answer to " + id);
	}

	private void call(String id, int port) {
		long sentAt = this.record.ms();
		try (Socket s = new Socket()) {
			s.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
			s.connect(new InetSocketAddress("127.0.0.1", port));
			s.setSoTimeout(DEADLINE_MS);
			s.getOutputStream()
				.write(("POST /read/2f HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
						+ DEADLINE_MS + "\r\nContent-Length: 2\r\n\r\nhi")
					.getBytes(StandardCharsets.ISO_8859_1));
			this.record.line("caller sent " + id + " to port " + port);
			Http.Message m = Http.read(new SlowInput(s.getInputStream()));
			if (m == null) {
				throw new EOFException("closed without an answer");
			}
			this.record.line("caller has " + id + ": status " + m.status() + ", " + m.body().length
					+ " bytes, whole, after " + (this.record.ms() - sentAt) + " ms");
		}
		catch (IOException ex) {
			judge(id, sentAt, ex);
		}
	}

	// An answer may end early at the deadline, or if its worker was still at work in the
	// last sixth of the grace period.
	private void judge(String id, long sentAt, IOException seen) {
		long now = this.record.ms();
		long endedAt = this.workerEndedAt.getOrDefault(id, Long.MAX_VALUE);
		boolean excused = now - sentAt >= DEADLINE_MS || endedAt > this.terminatedAt + GRACE_MS * 5 / 6;
		this.broken |= !excused;
		this.record.line((excused ? "not counted: " : "BROKEN: ") + id + " broke off after " + (now - sentAt)
				+ " ms: " + seen);
	}

	/** Reads a few bytes at a time, with pauses. */
	private static final class SlowInput extends InputStream {

		private final InputStream in;

		private final byte[] buffer = new byte[READ_BYTES];

		private int from;

		private int to;

		SlowInput(InputStream in) {
			this.in = in;
		}

		@Override
		public int read() throws IOException {
			if (this.from == this.to) {
				try {
					Thread.sleep(READ_EVERY_MS);
				}
				catch (InterruptedException ex) {
					throw new IOException(ex);
				}
				this.from = 0;
				this.to = this.in.read(this.buffer);
			}
			return (this.to < 0) ? -1 : this.buffer[this.from++] & 0xFF;
		}

	}

}
