import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * One entry VM as a process of its own, started with the command of the deploy file and
 * with settings as its template gives them for a small deployment.
 */
final class EntryVm {

	private static final int FIRST_PORT = 26_000;

	private static final int LAST_PORT = 32_000;

	private static final int TRIES = 100;

	private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

	private final Path repository;

	private final Path folder;

	final String name;

	final int callers = freePort();

	final int ready = freePort();

	private final int locate = freePort();

	private final int metrics = freePort();

	private final int tunnel = freePort();

	private final int peers = freePort();

	private final int store;

	Process process;

	EntryVm(Path repository, Path folder, String name, int store) throws IOException {
		this.repository = repository;
		this.folder = folder;
		this.name = name;
		this.store = store;
	}

	// Below the ports that the system gives to connections, so that none of them takes the
	// port before the process listens.
	private static int freePort() throws IOException {
		for (int i = 0; i < TRIES; i++) {
			int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
			if (!GIVEN.add(port)) {
				continue;
			}
			try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return s.getLocalPort();
			}
			catch (BindException ex) {
				// Another process has it.
			}
		}
		throw new IOException("no free port");
	}

	void start() throws IOException {
		Path settings = this.folder.resolve(this.name + ".toml");
		Files.writeString(settings, String.join("\n", "[vm]", "name = \"" + this.name + "\"", "region = \"lisboa\"",
				"hall = \"sala-alcantara\"", "cpu_share = 0.75", "cpu_speed = 1", "memory_mb = 280", "[listen]",
				"callers = \"127.0.0.1:" + this.callers + "\"", "ready = \"127.0.0.1:" + this.ready + "\"",
				"locate = \"127.0.0.1:" + this.locate + "\"", "metrics_port = " + this.metrics,
				"tunnel_port = " + this.tunnel, "peer_port = " + this.peers, "[store]",
				"address = \"127.0.0.1:" + this.store + "\"", "[bounds]", "retry_ratio = 0.2", "retry_slack = 56",
				"retry_window_s = 10", "locate_ttl_max_s = 5", "grace_s = 8", "worker_drain_ms = 2000",
				"config_apply_ms = 2000", "lost_call_ms = 3000", "worker_heartbeat_ms = 1200",
				"workers_check_fences = true", "order_turn_ms = 3000", "[log]", "level = \"info\"",
				"lines_per_s = 600", ""));
		ProcessBuilder b = new ProcessBuilder(command()).directory(this.repository.toFile());
		b.environment().put("SHALLOTSPUR_BOOT", settings.toString());
		b.redirectErrorStream(true);
		b.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
		Process p = b.start();
		this.process = p;
		// Also if the script's time is over.
		Runtime.getRuntime().addShutdownHook(new Thread(p::destroyForcibly));
	}

	Path log() {
		return this.folder.resolve(this.name + ".log");
	}

	// The line that begins with run = in the deploy file.
	private List<String> command() throws IOException {
		for (String line : Files.readAllLines(this.repository.resolve("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return new ArrayList<>(Arrays.asList(line.substring(7, line.length() - 1).split(" ")));
			}
		}
		throw new IOException("no run command in the deploy file");
	}

	boolean awaitReady(long timeoutMs) throws InterruptedException {
		long until = System.nanoTime() + timeoutMs * 1_000_000;
		while (System.nanoTime() < until) {
			if (isReady()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	boolean isReady() throws InterruptedException {
		try {
			HttpRequest r = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + this.ready + "/api/readiness"))
				.timeout(Duration.ofSeconds(1))
				.build();
			return HttpClient.newHttpClient().send(r, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void stop() throws InterruptedException {
		if (this.process != null) {
			this.process.destroyForcibly();
			this.process.waitFor(5, TimeUnit.SECONDS);
		}
	}

}
