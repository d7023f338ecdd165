package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry VM, started as a process with the command of the deploy file. */
final class Vm {

	final String name;

	final int callers;

	private final int ready;

	private final int locate;

	private final Path settings;

	private final File log;

	private Process process;

	Vm(String name, String zone, String store, Path dir, int memoryMb) throws IOException {
		this.name = name;
		int[] p = freePorts(6);
		this.callers = p[0];
		this.ready = p[1];
		this.locate = p[2];
		this.settings = dir.resolve(name + ".toml");
		this.log = dir.resolve(name + ".log").toFile();
		Files.writeString(this.settings, """
				[vm]
				name = "%s"
				region = "lisboa"
				hall = "%s"
				cpu_share = 0.75
				cpu_speed = 1
				memory_mb = %d

				[listen]
				callers = "127.0.0.1:%d"
				ready = "127.0.0.1:%d"
				locate = "127.0.0.1:%d"
				metrics_port = %d
				tunnel_port = %d
				peer_port = %d

				[store]
				address = "%s"

				[bounds]
				retry_ratio = 0.2
				retry_slack = 56
				retry_window_s = 10
				locate_ttl_max_s = 5
				grace_s = 8
				worker_drain_ms = 2000
				config_apply_ms = 2000
				workers_check_fences = true
				order_turn_ms = 3000

				[log]
				level = "info"
				lines_per_s = 600
				""".formatted(name, zone, memoryMb, p[0], p[1], p[2], p[3], p[4], p[5], store));
	}

	private static int[] freePorts(int n) throws IOException {
		ServerSocket[] s = new ServerSocket[n];
		int[] p = new int[n];
		for (int i = 0; i < n; i++) {
			s[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			p[i] = s[i].getLocalPort();
		}
		for (ServerSocket x : s) {
			x.close();
		}
		return p;
	}

	void start() throws IOException {
		ProcessBuilder b = new ProcessBuilder(command());
		b.environment().put("SHALLOTSPUR_BOOT", this.settings.toString());
		b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(this.log));
		this.process = b.start();
	}

	// The words of "run" in the deploy file, with the java of this process.
	private static List<String> command() throws IOException {
		String run = Files.readAllLines(Path.of("deploy/system.toml"))
			.stream()
			.filter((l) -> l.startsWith("run = "))
			.findFirst()
			.orElseThrow();
		String[] words = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ");
		words[0] = Path.of(System.getProperty("java.home"), "bin", "java").toString();
		return List.of(words);
	}

	void awaitReady(long ms) throws IOException, InterruptedException {
		long end = System.nanoTime() + ms * 1_000_000;
		while (System.nanoTime() < end) {
			if (isReady(1_000)) {
				return;
			}
			Thread.sleep(50);
		}
		throw new IOException(this.name + " is not ready");
	}

	/** Asks for readiness, as the platform does. */
	boolean isReady(int timeoutMs) {
		Http.Message m = get(this.ready, "/api/readiness", timeoutMs);
		return m != null && m.status() == 200;
	}

	/** Asks which addresses to use, as callers do; empty if there is no answer. */
	List<String> resolve(String host) {
		Resolution r = resolution(host);
		return (r != null) ? r.addresses() : List.of();
	}

	/** Asks the directory; {@code null} if there is no answer. */
	Resolution resolution(String host) {
		Http.Message m = get(this.locate, "/api/resolution?name=" + host + "&region=lisboa&zone=z-1", 1_000);
		if (m == null || m.status() != 200) {
			return null;
		}
		Map<?, ?> r = (Map<?, ?>) Json.parse(new String(m.body(), StandardCharsets.UTF_8));
		return new Resolution(((List<?>) r.get("addresses")).stream().map(String.class::cast).toList(),
				((Number) r.get("ttl_s")).doubleValue());
	}

	private static Http.Message get(int port, String target, int timeoutMs) {
		try (Socket s = new Socket()) {
			s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMs);
			s.setSoTimeout(timeoutMs);
			s.getOutputStream()
				.write(("GET " + target + " HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			return Http.read(s.getInputStream());
		}
		catch (IOException ex) {
			return null;
		}
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	int exitCode() {
		return this.process.exitValue();
	}

	/** Sends SIGTERM. */
	void terminate() {
		this.process.destroy();
	}

	void killNow() {
		this.process.destroyForcibly();
	}

	boolean awaitExit(long ms) throws InterruptedException {
		return this.process.waitFor(ms, TimeUnit.MILLISECONDS);
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor(5, TimeUnit.SECONDS);
	}

	List<String> log(String text) throws IOException {
		return Files.readAllLines(this.log.toPath()).stream().filter((l) -> l.contains(text)).toList();
	}

	/** An answer of the directory. */
	record Resolution(List<String> addresses, double ttlSeconds) {
	}

}
