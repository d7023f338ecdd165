package io.shallotspur.platform.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.shallotspur.platform.FakeStore;

/**
 * One run: processes, stand-ins, callers and faults of one seed. Used by one thread.
 */
final class SoakRun {

	// Long enough for a machine that is busy with other things; nothing is judged by it
	// but that the VMs serve again at all, s.
	private static final long RECOVERY_S = 45;

	private static final int CALLERS = 12;

	private static final int SERVED_AGAIN = 40;

	private static final int FIRST_PORT = 18_000;

	private static final int PORTS = 14_000;

	private static final int PORTS_A_VM = 4;

	private final long seed;

	private final long lengthMs;

	private final Path dir;

	private final FakeStore store = new FakeStore();

	private final SoakKeys keys = new SoakKeys();

	private final Evidence evidence = new Evidence(this.keys);

	private final List<VmProcess> vms = new ArrayList<>();

	private final List<LoopbackProxy> storeProxies = new ArrayList<>();

	private final List<SoakWorker> workers = new ArrayList<>();

	private final List<SoakCaller> callers = new ArrayList<>();

	private final ExecutorService faults = Executors.newCachedThreadPool();

	private final FaultInjector injector = new FaultInjector(this.vms, this.workers, this.storeProxies, this.store,
			this.evidence, this::publish, this::writeAgain);

	private int version = 7;

	private String published = "";

	SoakRun(long seed, int vms, long lengthMs, Path dir) throws IOException {
		this.seed = seed;
		this.lengthMs = lengthMs;
		this.dir = dir;
		publish();
		Map<String, String> caches = new ConcurrentHashMap<>();
		String[] stages = { "", "", "", "prefill", "prefill", "prefill", "decode", "decode", "decode" };
		for (int i = 0; i < stages.length; i++) {
			this.workers.add(new SoakWorker(stages[i].isEmpty() ? "plain" : "llm", i, stages[i], this.store,
					this.evidence, caches));
		}
		for (int i = 0; i < vms; i++) {
			LoopbackProxy p = new LoopbackProxy(this.store.address().port());
			this.storeProxies.add(p);
			this.vms.add(new VmProcess(i, dir, ports(), p.port()));
		}
	}

	// Below the range from which connections get their own ports: one of those, given to
	// a connection while a VM is down, would keep the VM from starting again.
	private static int[] ports() throws IOException {
		List<ServerSocket> l = new ArrayList<>();
		while (l.size() < PORTS_A_VM) {
			int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
			try {
				l.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
			}
			catch (BindException ex) {
				// Taken; another one is drawn.
			}
		}
		int[] ports = l.stream().mapToInt(ServerSocket::getLocalPort).toArray();
		for (ServerSocket s : l) {
			s.close();
		}
		return ports;
	}

	private synchronized void publish() {
		StringBuilder routes = new StringBuilder();
		for (Evidence.Kind k : Evidence.Kind.values()) {
			routes.append((routes.length() > 0) ? "," : "")
				.append("""
						{"name":"%s","host":"127.0.0.1","prefix":"/%s/","kind":"%s","timeout_ms":%d,
						"target_latency_ms":300,"priority":2,"service":"%s","max_attempts":2,"allow_resume":%s}"""
					.formatted(k.path, k.path, k.stream ? "streaming" : k.path, k.stream ? 8_000 : 1_500,
							k.stream ? "llm" : "plain", k == Evidence.Kind.RESUMABLE));
		}
		this.published = """
				{"version":%d,"tenants":[%s],"routes":[%s],"services":[
				{"name":"plain","health_path":"/health","connection_limit":100},
				{"name":"llm","health_path":"/health","connection_limit":100,"engine":{"slots":6,
				"kv_cache_tokens":6000,"kv_token_bytes":10,"link_mbps":100,"kv_handle_s":0.5,"hold_ms":2000}}],
				"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,
				"idle_timeout_ms":15000}}""".formatted(++this.version, this.keys.issue(), routes);
		this.store.put("op/config", this.published);
		this.keys.published(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
	}

	// The operator and the workers write what the store has lost.
	private synchronized void writeAgain() {
		this.store.put("op/config", this.published);
		this.workers.forEach(SoakWorker::writeAgain);
	}

	/**
	 * Runs.
	 * @return the promises that were broken; empty if all were kept
	 */
	List<String> run() throws IOException, InterruptedException {
		try {
			for (VmProcess vm : this.vms) {
				vm.start();
			}
			traffic();
			if (!await(() -> served() > 0)) {
				return List.of("RECOVER nothing was served after the start");
			}
			strike();
			int before = served();
			if (!await(() -> served() >= before + SERVED_AGAIN)) {
				this.evidence.broken("RECOVER served=" + (served() - before) + " after the faults");
			}
			this.callers.forEach(SoakCaller::stop);
			leave();
			return this.evidence.broken();
		}
		finally {
			stop();
		}
	}

	String summary() {
		return this.evidence.summary() + " served=" + served();
	}

	private void traffic() {
		for (int i = 0; i < CALLERS; i++) {
			SoakCaller c = new SoakCaller(i, this.seed, this.vms, this.evidence, this.keys);
			this.callers.add(c);
			Thread t = new Thread(c, "caller-" + i);
			t.setDaemon(true);
			t.start();
		}
	}

	private int served() {
		return this.callers.stream().mapToInt(SoakCaller::served).sum();
	}

	private static boolean await(BooleanSupplier done) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(RECOVERY_S);
		while (!done.getAsBoolean() && System.nanoTime() < end) {
			Thread.sleep(50);
		}
		return done.getAsBoolean();
	}

	private void strike() throws InterruptedException {
		long begin = System.nanoTime();
		for (Fault f : FaultPlan.of(this.seed, this.lengthMs, this.vms.size(), this.workers.size())) {
			long wait = f.atMs() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
			Thread.sleep(Math.max(0, wait));
			System.out.println("[soak] at-ms=" + f.atMs() + " " + f);
			this.faults.execute(() -> strike(f));
		}
		this.faults.shutdown();
		if (!this.faults.awaitTermination(RECOVERY_S, TimeUnit.SECONDS)) {
			this.evidence.broken("soak: faults did not end");
		}
	}

	private void strike(Fault f) {
		try {
			this.injector.strike(f);
		}
		catch (IOException | InterruptedException ex) {
			this.evidence.broken("soak: " + f + " could not be made: " + ex);
		}
	}

	// All VMs end in their time when they are told to, and by themselves.
	private void leave() throws IOException, InterruptedException {
		for (VmProcess vm : this.vms) {
			int code = vm.leave();
			if (code != 0) {
				this.evidence.broken("LEAVE vm=" + vm.callers() + " code=" + code);
			}
		}
	}

	private void stop() throws IOException, InterruptedException {
		this.callers.forEach(SoakCaller::stop);
		for (VmProcess vm : this.vms) {
			if (vm.alive()) {
				vm.kill();
			}
		}
		this.workers.forEach(SoakWorker::stop);
		this.storeProxies.forEach(LoopbackProxy::stop);
		this.store.stop();
	}

}
