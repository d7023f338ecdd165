import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A caller sends requests whose framing is no valid HTTP/1.1, with another request hidden
 * behind what a lenient reader takes for their end. Counts the hidden requests that a
 * worker runs.
 */
public final class HiddenRequests {

	private static final int ROUNDS = 5;

	public static void main(String[] args) throws Exception {
		Path repository = Path.of(args[0]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		Path tmp = Files.createTempDirectory("hidden-requests");
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
				status = play(vm, worker, trouble, record);
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

	private static int play(EntryVm vm, Worker worker, boolean trouble, PrintWriter record)
			throws InterruptedException {
		int hiddenRuns = 0;
		int outerRuns = 0;
		for (int i = 0; i < ROUNDS; i++) {
			for (String name : framings("").keySet()) {
				String outer = "outer-" + name + "-" + i;
				String hidden = "hidden-" + name + "-" + i;
				String inner = "POST /portal/hidden HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: " + hidden
						+ "\r\nX-Deadline-Ms: 900\r\nContent-Length: 1\r\n\r\nE";
				String framing = trouble ? framings(inner).get(name)
						: "Content-Length: " + inner.length() + "\r\n\r\n" + inner;
				String answers = send(vm.callers, "POST /portal/x HTTP/1.1\r\nHost: portal.example\r\nX-Request-Id: "
						+ outer + "\r\nX-Deadline-Ms: 900\r\n" + framing);
				record.println(outer + " sent=" + quoted(framing) + " answered=" + quoted(answers) + " runs="
						+ worker.runs(outer) + " runs-of-hidden=" + worker.runs(hidden));
				outerRuns += worker.runs(outer);
				hiddenRuns += worker.runs(hidden);
			}
		}
		String result = "outer requests run=" + outerRuns + " hidden requests run=" + hiddenRuns + " allowed=0";
		record.println(result);
		System.out.println(result);
		return (hiddenRuns > 0) ? 1 : 0;
	}

	// What follows the first fields of a request, by name.
	private static Map<String, String> framings(String inner) {
		Map<String, String> m = new LinkedHashMap<>();
		m.put("last-coding-not-chunked",
				"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner);
		m.put("chunk-size-with-blank", "Transfer-Encoding: chunked\r\n\r\n0 5\r\n\r\n" + inner);
		m.put("length-and-chunked",
				"Content-Length: " + (5 + inner.length()) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner);
		m.put("two-lengths",
				"Content-Length: 0\r\nContent-Length: " + inner.length() + "\r\n\r\n" + inner);
		return m;
	}

	private static String quoted(String s) {
		return "\"" + s.replace("\r", "\\r").replace("\n", "\\n") + "\"";
	}

	private static String send(int port, String bytes) {
		StringBuilder answers = new StringBuilder();
		try (Socket s = new Socket("127.0.0.1", port)) {
			s.setSoTimeout(600);
			OutputStream out = s.getOutputStream();
			out.write(bytes.getBytes(StandardCharsets.US_ASCII));
			InputStream in = s.getInputStream();
			for (int c = in.read(); c >= 0; c = in.read()) {
				answers.append((char) c);
			}
		}
		catch (SocketTimeoutException ex) {
			// The connection is kept.
		}
		catch (IOException ex) {
			answers.append(ex);
		}
		return answers.toString();
	}

}
