import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Callers use paths and queries with letters beyond ASCII, sent as UTF-8, or
 * percent-encoded without the trouble. Counts the requests that a worker runs with another
 * path or query than the caller's.
 */
public final class Targets {

	private static final int ROUNDS = 5;

	private static final List<String> PLAIN = List.of("/portal/renova\u00e7\u00e3o/123", "/portal/x?q=s\u00e3o+jos\u00e9",
			"/portal/\u0e02\u0e48\u0e32\u0e27", "/portal/x?nome=Jo\u00e3o&zona=sala");

	private static final List<String> ENCODED = List.of("/portal/renova%C3%A7%C3%A3o/123",
			"/portal/x?q=s%C3%A3o+jos%C3%A9", "/portal/%E0%B8%82%E0%B9%88%E0%B8%B2%E0%B8%A7",
			"/portal/x?nome=Jo%C3%A3o&zona=sala");

	public static void main(String[] args) throws Exception {
		Path repository = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path tmp = Files.createTempDirectory("targets");
		PlatformStore store = new PlatformStore();
		store.put("op/config",
				"{\"version\":7,\"routes\":[{\"name\":\"portal\",\"host\":\"portal.example\",\"prefix\":\"/portal/\","
						+ "\"kind\":\"unsafe\",\"timeout_ms\":800,\"target_latency_ms\":300,\"priority\":2,"
						+ "\"service\":\"app\",\"max_attempts\":1}],\"services\":[{\"name\":\"app\","
						+ "\"health_path\":\"/health\",\"connection_limit\":110,\"protocol\":\"h1\",\"tls\":false}],"
						+ "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
						+ "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
		Worker worker = new Worker("w0", store, "app", 20);
		EntryVm vm = new EntryVm(repository, tmp, "front-1", store.port());
		int status = 2;
		try (PrintWriter record = new PrintWriter(Files.newBufferedWriter(Path.of(args[1])))) {
			vm.start();
			if (vm.awaitReady(30_000)) {
				Thread.sleep(4_000);
				status = play(vm, worker, trouble ? PLAIN : ENCODED, record);
			}
			else {
				record.println("the entry VM did not become ready");
			}
		}
		finally {
			vm.stop();
			store.stop();
			worker.stop();
		}
		System.exit(status);
	}

	private static int play(EntryVm vm, Worker worker, List<String> targets, PrintWriter record) throws IOException {
		int same = 0;
		int changed = 0;
		int refused = 0;
		for (int i = 0; i < ROUNDS * targets.size(); i++) {
			String id = "t" + i;
			// One character for each byte that is sent.
			String target = new String(targets.get(i % targets.size()).getBytes(StandardCharsets.UTF_8),
					StandardCharsets.ISO_8859_1);
			String answer = post(vm.callers, id, target);
			String seen = worker.target(id);
			record.println(id + " sent=" + hex(target) + " run=" + hex(seen) + " answer=\"" + answer + "\"");
			same += seen.equals(target) ? 1 : 0;
			changed += (worker.runs(id) > 0 && !seen.equals(target)) ? 1 : 0;
			refused += (worker.runs(id) == 0) ? 1 : 0;
		}
		String result = "requests run as sent=" + same + " run with another path or query=" + changed + " not run="
				+ refused + " allowed to be changed=0";
		record.println(result);
		System.out.println(result);
		return (changed > 0) ? 1 : 0;
	}

	private static String hex(String target) {
		StringBuilder b = new StringBuilder();
		for (char c : target.toCharArray()) {
			b.append((c < 0x7f) ? "" + c : String.format("<%02x>", (int) c));
		}
		return b.toString();
	}

	private static String post(int port, String id, String target) throws IOException {
		try (Socket s = new Socket("127.0.0.1", port)) {
			s.setSoTimeout(3_000);
			OutputStream out = s.getOutputStream();
			out.write(("POST " + target + " HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: " + id
					+ "\r\nX-Deadline-Ms: 1500\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab")
				.getBytes(StandardCharsets.ISO_8859_1));
			InputStream in = s.getInputStream();
			return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1).split("\r\n")[0];
		}
	}

}
