package io.shallotspur.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;

import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.record.NodeMetrics;
import io.shallotspur.registry.ConfigReader;
import io.shallotspur.registry.Leadership;
import io.shallotspur.registry.RegistryWatcher;
import io.shallotspur.registry.SharedEngineStats;
import io.shallotspur.registry.VmLoadSampler;
import io.shallotspur.registry.VmRegistration;
import io.shallotspur.stage.StageRebalancer;

/**
 * One entry VM on the platform: wires the gateway to its adapters, starts and drains
 * them. {@link #start} and {@link #drain} are called by one thread.
 */
final class PlatformVm {

	// Callers keep an address for a few seconds after this VM has left the answers; those
	// who come meanwhile are served, ms.
	private static final long LATE_CALLERS_MS = 3_000;

	// The process is gone this long before it would be killed, ms.
	private static final long GRACE_MARGIN_MS = 400;

	// Nobody is let in any more this long before the end, ms: a refusal takes a few ms.
	private static final long LAST_REFUSAL_MS = 300;

	private static final long DRAIN_POLL_MS = 50;

	private final PlatformSettings settings;

	private final LongSupplier clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

	private final Loop loop = new Loop();

	// Routes stand where the metrics know customers; none has series of its own.
	private final NodeMetrics metrics = new NodeMetrics(0);

	private final Gateway gateway;

	private final RegistryWatcher follower;

	private final VmRegistration registration;

	private final StageRebalancer stages;

	private final SharedEngineStats figures;

	private final VmLoadSampler load;

	private final CallerIngress ingress;

	private final List<DisposableServer> servers = new ArrayList<>();

	private volatile boolean leaving;

	private final AtomicBoolean closed = new AtomicBoolean();

	PlatformVm(PlatformSettings s) {
		this.settings = s;
		HttpWorkerPort workers = new HttpWorkerPort(this.loop);
		GatewayPorts ports = new GatewayPorts(workers, this.loop, this.clock, System::currentTimeMillis,
				() -> ThreadLocalRandom.current().nextDouble(), new DecisionLog(s.log().linesPerSecond()),
				new RelayMetrics(this.metrics.registry()));
		this.gateway = new Gateway(s.gateway(), ports);
		StoreRegistry registry = new StoreRegistry(s.store(), this.loop);
		ConfigReader reader = new ConfigReader(registry, this.gateway);
		this.gateway.setConfigSource(reader);
		String incarnation = Long.toHexString(ThreadLocalRandom.current().nextLong());
		EntryVm self = new EntryVm(Names.VM_PREFIX + s.callers() + "/" + incarnation, s.callers().toString(),
				s.region(), s.gateway().hall(), s.cores(), false);
		this.registration = new VmRegistration(registry, self, this.loop);
		this.follower = new RegistryWatcher(registry, this.gateway, this.loop, this.clock,
				() -> ThreadLocalRandom.current().nextDouble(), s.changes());
		this.follower.setOwnRegistration(self.key(), this.registration::start);
		this.registration.setNoAnswerListener(this.follower::onCallUnanswered);
		Leadership duty = new Leadership(registry, this.registration, this.gateway.entryVms(), self.key(), s.orders().turnMs(),
				this.clock);
		this.follower.setLeadership(duty);
		this.stages = new StageRebalancer(s.gateway().vmName(), this.gateway, duty,
				new HttpStagePort(workers.side(), this.loop), this.loop, this.clock, s.changes().propagationMs());
		this.figures = new SharedEngineStats(registry, this.gateway, this.loop,
				() -> ThreadLocalRandom.current().nextDouble());
		this.follower.setSharedStats(this.figures);
		this.follower.setStaleDataListener(reader::onStoreRestored);
		this.follower.addRestoreListener(this.registration::onStoreRestored);
		this.follower.addRestoreListener((ms) -> this.metrics.registry().counter("store.restored").inc());
		this.metrics.registry().gauge("store.era", () -> registry::era);
		this.load = new VmLoadSampler(this.loop, this.clock, this.gateway::inProgress, this.registration::setCrowded);
		this.gateway.entryVms().registerSelf(self);
		this.ingress = new CallerIngress(s.callers(), this.loop, this.gateway);
	}

	/**
	 * Opens all sockets and begins to follow the store.
	 */
	void start() {
		// All of a start runs on the loop's thread. Two threads that load classes and
		// read sockets at once only take turns on a part of a core.
		Flux.defer(this::sockets)
			.subscribeOn(this.loop.scheduler())
			.doOnNext(this.servers::add)
			.then(Mono.fromRunnable(this::started))
			.block();
	}

	private Flux<DisposableServer> sockets() {
		ControlServers c = new ControlServers(this.loop, this.gateway.entryVms(), this.clock, this.settings.locateTtlMs());
		return Flux
			.just(this.ingress.bind(), c.ready(this.settings.ready(), this::ready),
					c.locate(this.settings.locate(), () -> this.follower.initialized() && !this.leaving),
					c.metrics(this.settings.metrics(), this.metrics::scrape))
			.concatMap((bind) -> PatientBind.of(bind, this.loop.scheduler()));
	}

	private void started() {
		this.follower.start();
		this.registration.start();
		this.figures.start();
		this.load.start();
		this.gateway.startClockSampling();
		if (this.settings.orders().fenced()) {
			this.stages.start();
		}
		Logger.info("[run] started vm={} hall={} callers={} metrics={} store={}", this.settings.gateway().vmName(),
				this.settings.gateway().hall(), this.settings.callers(), this.settings.metrics(),
				this.settings.store());
	}

	private boolean ready() {
		return !this.leaving && this.follower.initialized() && this.gateway.routeTable().isPresent();
	}

	/**
	 * Leaves: is no longer ready nor in answers to callers, serves those who still come,
	 * finishes what is in progress and returns.
	 */
	void drain() {
		long begin = this.clock.getAsLong();
		long end = begin + this.settings.graceMs() - GRACE_MARGIN_MS;
		long late = begin + Math.min(LATE_CALLERS_MS, this.settings.graceMs() / 2);
		Logger.info("[run] stopping in-progress={}", this.gateway.inProgress());
		this.loop.execute(() -> leave(late, end));
		pause(late - begin);
		// Callers who still have this address would find nobody while the last streams go
		// on here. Without the store they keep it, as no VM hears that this one leaves;
		// and a VM that starts then knows no configuration. So it stays to the end.
		while (this.clock.getAsLong() < end - LAST_REFUSAL_MS
				&& (this.gateway.inProgress() > 0 || this.follower.storeUnavailable())) {
			pause(DRAIN_POLL_MS);
		}
		this.servers.get(0).dispose();
		this.loop.execute(this.ingress::closeIdle);
		while (this.gateway.inProgress() > 0 && this.clock.getAsLong() < end) {
			pause(DRAIN_POLL_MS);
		}
		Logger.info("[run] stopped left-in-progress={}", this.gateway.inProgress());
		close();
	}

	/**
	 * Closes all sockets at once. A second call does nothing: a VM that has left has
	 * closed by itself, and its event loop would reject what is handed to it.
	 */
	void close() {
		if (!this.closed.compareAndSet(false, true)) {
			return;
		}
		this.loop.execute(this.stages::stop);
		this.loop.execute(this.figures::stop);
		this.loop.execute(this.load::stop);
		this.loop.execute(this.gateway::stopClockSampling);
		this.loop.execute(this.follower::stop);
		this.servers.forEach((s) -> s.dispose());
		this.loop.close();
	}

	int callersPort() {
		return this.servers.get(0).port();
	}

	int readyPort() {
		return this.servers.get(1).port();
	}

	int metricsPort() {
		return this.servers.get(3).port();
	}

	int locatePort() {
		return this.servers.get(2).port();
	}

	private void leave(long late, long end) {
		this.leaving = true;
		this.gateway.drain(late, end);
		this.stages.stop();
		this.ingress.closeAfterAnswers();
		this.registration.deregister().timeout(Duration.ofMillis(GRACE_MARGIN_MS)).onErrorComplete().subscribe();
	}

	private static void pause(long ms) {
		try {
			TimeUnit.MILLISECONDS.sleep(ms);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
