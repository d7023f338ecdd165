package io.shallotspur.platform.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * An entry VM as a process of its own. Not thread-safe; only its own process is
 * signalled, by its id.
 */
final class VmProcess {

	// The platform kills what has not ended after this time, and so does this, s.
	static final int GRACE_S = 8;

	private static final int ENDED_BY_TERM = 128 + 15;

	// A harness that is ended itself leaves none of its processes behind.
	private static final Set<Process> STARTED = ConcurrentHashMap.newKeySet();

	static {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> STARTED.forEach(Process::destroyForcibly)));
	}

	private final int number;

	private final Path dir;

	private final int[] ports;

	private final int store;

	private Process process;

	private boolean paused;

	// How much of the log was written before the last start, characters.
	private int logged;

	VmProcess(int number, Path dir, int[] ports, int store) {
		this.number = number;
		this.dir = dir;
		this.ports = ports.clone();
		this.store = store;
	}

	String callers() {
		return "127.0.0.1:" + this.ports[0];
	}

	int locatePort() {
		return this.ports[2];
	}

	void start() throws IOException {
		Path settings = this.dir.resolve("vm-" + this.number + ".toml");
		Files.writeString(settings, settings());
		this.logged = Files.exists(log()) ? Files.readString(log()).length() : 0;
		this.process = new ProcessBuilder(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Xmx96m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", "target/shallotspur.jar",
				"platform", "--settings", settings.toString()))
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()))
			.start();
		STARTED.add(this.process);
		this.process.onExit().thenAccept(STARTED::remove);
	}

	private String settings() {
		return """
				[vm]
				name = "vm-%d"
				hall = "hall-%d"
				[listen]
				callers = "127.0.0.1:%d"
				ready = "127.0.0.1:%d"
				locate = "127.0.0.1:%d"
				metrics_port = %d
				[store]
				address = "127.0.0.1:%d"
				[bounds]
				retry_ratio = 0.2
				retry_slack = 40
				retry_window_s = 10
				locate_ttl_max_s = 5
				grace_s = %d
				worker_drain_ms = 2000
				revoked_key_ms = %d
				workers_check_fences = true
				order_turn_ms = 1000
				[log]
				level = "info"
				lines_per_s = 1000
				""".formatted(this.number, this.number % 2, this.ports[0], this.ports[1], this.ports[2], this.ports[3],
				this.store, GRACE_S, SoakKeys.REVOKED_MS);
	}

	boolean alive() {
		return this.process != null && this.process.isAlive();
	}

	void kill() throws IOException, InterruptedException {
		resume();
		this.process.destroyForcibly().waitFor();
	}

	void pause() throws IOException, InterruptedException {
		if (alive()) {
			this.paused = true;
			signal("-STOP");
		}
	}

	void resume() throws IOException, InterruptedException {
		if (this.paused && alive()) {
			signal("-CONT");
		}
		this.paused = false;
	}

	/**
	 * Tells the process to end, and waits until it has.
	 * @return its exit code; -1 if it had to be killed
	 */
	int leave() throws IOException, InterruptedException {
		resume();
		this.process.destroy();
		if (this.process.waitFor(GRACE_S, TimeUnit.SECONDS)) {
			return endedWhileStarting() ? 0 : this.process.exitValue();
		}
		kill();
		return -1;
	}

	// A signal in the first moments of a start ends the Java runtime by itself, before
	// the program has opened a socket.
	private boolean endedWhileStarting() throws IOException {
		String since = Files.readString(log()).substring(this.logged);
		return this.process.exitValue() == ENDED_BY_TERM && !since.contains("[run] started");
	}

	private Path log() {
		return this.dir.resolve("vm-" + this.number + ".log");
	}

	private void signal(String signal) throws IOException, InterruptedException {
		new ProcessBuilder("kill", signal, Long.toString(this.process.pid())).start().waitFor();
	}

}
