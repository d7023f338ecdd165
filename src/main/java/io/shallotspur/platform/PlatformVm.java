package io.shallotspur.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;

import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.adapter.peer.PeerSettings;
import io.shallotspur.adapter.peer.TcpPeerNetwork;
import io.shallotspur.adapter.tunnel.TunnelServer;
import io.shallotspur.cfg.Endpoint;
import io.shallotspur.gateway.DecisionLog;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayPorts;
import io.shallotspur.gateway.RelayMetrics;
import io.shallotspur.origin.OriginExchange;
import io.shallotspur.origin.OriginMessages;
import io.shallotspur.record.NodeMetrics;
import io.shallotspur.registry.ConfigReader;
import io.shallotspur.registry.Leadership;
import io.shallotspur.registry.PeerSuspects;
import io.shallotspur.registry.RegistryWatcher;
import io.shallotspur.registry.SharedEngineStats;
import io.shallotspur.registry.SharedQuarantine;
import io.shallotspur.registry.SharedVersions;
import io.shallotspur.registry.SuspectsMessage;
import io.shallotspur.registry.VmLoadSampler;
import io.shallotspur.registry.VmRegistration;
import io.shallotspur.route.RouteTable;
import io.shallotspur.serving.VmLoad;
import io.shallotspur.stage.StageRebalancer;
import io.shallotspur.transit.ByteBudget;

/**
 * One entry VM on the platform: connects the gateway to its adapters, starts and drains
 * them. {@link #start} and {@link #drain} must be called from the same thread.
 */
final class PlatformVm {

	// In ms. Beyond the last time of a drain, for a loop that is behind.
	private static final long DRAIN_SLACK_MS = 100;

	private static final long DEREGISTER_TIMEOUT_MS = 400;

	// In ms. As for tunnels: a VM that does not accept a connection by then is cut off or
	// has ended.
	private static final long PEER_CONNECT_TIMEOUT_MS = 250;

	// In ms. A link on which calls have no answer for three times as long is replaced.
	private static final long PEER_HEARTBEAT_MS = 300;

	private static final String PEER_CLUSTER = "entry-vms";

	private static final long PEER_IDLE_CLOSE_MS = 60_000;

	private final PlatformSettings settings;

	private final LongSupplier clock = PlatformVm::nowMs;

	private final VmEventLoop loop = new VmEventLoop();

	// The platform's metrics have routes in place of customers, and no route gets a time
	// series of its own.
	private final NodeMetrics metrics = new NodeMetrics(0);

	private final Gateway gateway;

	private final RegistryWatcher watcher;

	private final VmRegistration registration;

	private final StageRebalancer stages;

	private final SharedEngineStats engineStats;

	private final SharedQuarantine sharedQuarantine;

	private final VmLoadSampler loadSampler;

	private final CallerConnections callers = new CallerConnections();

	private final CallerIngress ingress;

	private final EntryVm self;

	private final TunnelServer tunnels;

	private final TcpPeerNetwork peers;

	private final SharedVersions sharedVersions;

	private final List<DisposableServer> servers = new ArrayList<>();

	private volatile boolean draining;

	// Confined to the event loop, on which readiness is asked.
	private boolean versionsAnnounced;

	private final AtomicBoolean closed = new AtomicBoolean();

	PlatformVm(PlatformSettings s) {
		this.settings = s;
		HttpWorkerPort workers = new HttpWorkerPort(this.loop, new UnknownResponseFields(this.metrics.registry()));
		GatewayPorts ports = new GatewayPorts(workers, this.loop, this.clock, System::currentTimeMillis,
				() -> ThreadLocalRandom.current().nextDouble(), new DecisionLog(s.log().linesPerSecond()),
				new RelayMetrics(this.metrics.registry()));
		this.gateway = new Gateway(s.gateway(), ports);
		workers.workerClient().setNoticeListener(this.gateway::onNotice);
		workers.workerClient().setPathSelector(this.gateway.paths());
		StoreRegistry registry = new StoreRegistry(s.store(), this.loop);
		ConfigReader reader = new ConfigReader(registry, this.gateway);
		this.gateway.setConfigSource(reader);
		String incarnation = Long.toHexString(ThreadLocalRandom.current().nextLong());
		this.self = new EntryVm(PlatformNames.VM_PREFIX + s.callers() + "/" + incarnation, s.callers().toString(),
				s.region(), s.gateway().hall(), s.cores(), false);
		this.registration = new VmRegistration(registry, this.self, this.loop);
		this.registration.setListener(this.gateway.registrationListener(), this.gateway::elapsedMs);
		this.watcher = new RegistryWatcher(registry, this.gateway, this.loop, this.clock,
				() -> ThreadLocalRandom.current().nextDouble(), s.changeDeadlines());
		this.watcher.setOwnRegistration(this.self.key(), this.registration::start);
		this.registration.setNoAnswerListener(this.watcher::onCallUnanswered);
		this.registration.setAnswerListener(this.watcher::onCallAnswered);
		Leadership leadership = new Leadership(registry, this.registration, this.gateway.entryVms(), this.self.key(),
				s.orders().handoverMs(), this.clock);
		this.watcher.setLeadership(leadership);
		this.stages = new StageRebalancer(s.gateway().vmName(), this.gateway, leadership,
				new HttpStagePort(workers.workerClient(), this.loop.scheduler(), this.gateway::elapsedMs), this.loop,
				this.clock, s.changeDeadlines().propagationMs());
		this.engineStats = new SharedEngineStats(registry, this.gateway, this.loop,
				() -> ThreadLocalRandom.current().nextDouble());
		this.watcher.setSharedStats(this.engineStats);
		this.sharedQuarantine = new SharedQuarantine(registry, this.gateway.quarantine(), this.loop, this.clock,
				() -> ThreadLocalRandom.current().nextDouble(), incarnation);
		this.watcher.setSharedQuarantine(this.sharedQuarantine);
		this.sharedVersions = new SharedVersions(registry, this.gateway, this.loop,
				() -> ThreadLocalRandom.current().nextDouble(), this.self.key());
		this.watcher.setSharedVersions(this.sharedVersions);
		this.gateway.origins().setVersionSource(this.sharedVersions);
		this.watcher.setStaleDataListener((ms) -> {
			reader.onStoreRestored(ms);
			this.sharedVersions.onStaleData(ms);
		});
		this.peers = peerNetwork(s, this.loop);
		this.sharedQuarantine.setPeers(new PeerSuspects(this.peers, this.gateway.entryVms(), this.clock,
				this.metrics.registry(), this.sharedQuarantine::onTold));
		this.gateway.origins()
			.setPeers(new OriginExchange(this.peers, this.gateway.entryVms(), this.gateway.origins().streams(),
					this.loop, this.clock, this.metrics.registry()));
		this.metrics.registry().gauge("vms.known", () -> () -> this.gateway.entryVms().count(this.clock.getAsLong()));
		this.metrics.registry().gauge("origin.streams", () -> this.gateway.origins().streams()::size);
		this.watcher.addRestoreListener(this.registration::onStoreRestored);
		this.watcher.addRestoreListener((ms) -> this.metrics.registry().counter("store.restored").inc());
		this.metrics.registry().gauge("store.era", () -> registry::era);
		addKnowledgeMetrics();
		this.metrics.registry().gauge("quarantine.entries", () -> this.gateway.quarantine()::size);
		VmLoad load = vmLoad();
		this.loadSampler = new VmLoadSampler(this.loop, this.clock, this.gateway::inProgress, load,
				this.registration::setLoadLevel);
		this.tunnels = new TunnelServer(this.loop.resources().onServer(false), this.self.key(),
				(id) -> this.gateway.tunnelTarget(id).map((w) -> new InetSocketAddress(w.host(), w.port())));
		this.metrics.registry().gauge("path.tunnels", () -> this.tunnels::openTunnels);
		ByteBudget budget = new ByteBudget(s.transitBytes());
		this.metrics.registry().gauge("transit.held-bytes", () -> budget::held);
		this.metrics.registry().gauge("transit.held-for", () -> budget::holders);
		this.metrics.registry().gauge("transit.cut", () -> budget::cuts);
		this.metrics.registry().gauge("callers.connections", () -> this.callers::openCount);
		this.metrics.registry().gauge("callers.owed", () -> this.callers::owedCount);
		this.ingress = new CallerIngress(s.callers(), this.loop, this.gateway, this.clock, load.release(), budget,
				this.callers);
	}

	private void addKnowledgeMetrics() {
		this.metrics.registry()
			.gauge("config.version", () -> () -> this.gateway.routeTable().map(RouteTable::version).orElse(0L));
		this.metrics.registry().gauge("store.position", () -> this.watcher::revision);
		this.metrics.registry().gauge("store.known-age-ms", () -> this.watcher::knownAgeMs);
		this.metrics.registry().gauge("store.unavailable", () -> () -> this.watcher.storeUnavailable() ? 1 : 0);
	}

	private VmLoad vmLoad() {
		VmLoad load = new VmLoad(() -> this.gateway.entryVms().hasAlternatives(this.clock.getAsLong()));
		this.metrics.registry().gauge("serving.level", () -> () -> load.level().ordinal());
		this.metrics.registry().gauge("serving.released", () -> load.release()::released);
		return load;
	}

	// Nothing on the platform is encrypted, and VMs may know the store under different
	// addresses: they have no secret of their own.
	private static TcpPeerNetwork peerNetwork(PlatformSettings s, VmEventLoop loop) {
		PeerSettings settings = PeerSettings
			.of(s.peers().host(), s.peers().port(), PEER_CLUSTER, PEER_CLUSTER.getBytes(StandardCharsets.US_ASCII))
			.withTimes(PEER_CONNECT_TIMEOUT_MS, PEER_HEARTBEAT_MS, PEER_IDLE_CLOSE_MS);
		PeerCodec codec = OriginMessages.register(PeerCodec.builder())
			.register(SuspectsMessage.TYPE, SuspectsMessage.class)
			.build();
		return TcpPeerNetwork.onLoop(settings, codec, loop.resources(), loop.scheduler());
	}

	/**
	 * Binds all sockets and starts to watch the store.
	 */
	void start() {
		// The whole startup runs on the event loop. With a fraction of a core, a second
		// thread that loads classes while the loop reads sockets would only compete with
		// it.
		Flux.defer(this::bindSockets)
			.subscribeOn(this.loop.scheduler())
			.doOnNext(this.servers::add)
			.then(bindTunnels().zipWith(bindPeers()))
			.doOnNext((bound) -> onBound(bound.getT1(), bound.getT2()))
			.block();
	}

	private Flux<DisposableServer> bindSockets() {
		ControlServers c = new ControlServers(this.loop, this.gateway.entryVms(), this.clock,
				this.settings.locateTtlMs());
		return Flux
			.just(this.ingress.bind(), c.readiness(this.settings.readiness(), this::ready),
					c.locate(this.settings.locate(), () -> this.watcher.initialized() && !this.draining),
					c.metrics(this.settings.metrics(), this.metrics::scrape))
			.concatMap((bind) -> BindRetry.withRetry(bind, this.loop.scheduler()));
	}

	private Mono<InetSocketAddress> bindTunnels() {
		Endpoint listen = this.settings.tunnels();
		return BindRetry.withRetry(this.tunnels.bind(listen.host(), listen.port()), this.loop.scheduler());
	}

	private Mono<InetSocketAddress> bindPeers() {
		Mono<InetSocketAddress> bind = this.peers.start()
			.onErrorMap((ex) -> (ex.getCause() instanceof ChannelBindException) ? ex.getCause() : ex);
		return BindRetry.withRetry(bind, this.loop.scheduler());
	}

	private void onBound(InetSocketAddress tunnelAddress, InetSocketAddress peerAddress) {
		String host = this.settings.callers().host();
		EntryVm bound = this.self.withAddresses(new Endpoint(host, callersPort()).toString(),
				new Endpoint(host, tunnelAddress.getPort()).toString(),
				new Endpoint(host, peerAddress.getPort()).toString());
		this.gateway.entryVms().registerSelf(bound);
		this.registration.setVm(bound);
		this.watcher.start();
		this.registration.start();
		this.engineStats.start();
		this.sharedQuarantine.start();
		this.sharedVersions.start();
		this.loadSampler.start();
		this.gateway.startSampling();
		if (this.settings.orders().fenced()) {
			this.stages.start();
		}
		Logger.info("[run] started vm={} hall={} callers={} metrics={} store={}", this.settings.gateway().vmName(),
				this.settings.gateway().hall(), this.settings.callers(), this.settings.metrics(),
				this.settings.store());
	}

	private boolean ready() {
		return !this.draining && this.watcher.initialized() && this.gateway.routeTable().isPresent()
				&& versionsAnnounced();
	}

	// After the start only: a version that comes later must not make a VM unready that
	// serves the others.
	private boolean versionsAnnounced() {
		this.versionsAnnounced |= this.sharedVersions.isComplete();
		return this.versionsAnnounced;
	}

	/**
	 * Drains this VM: stops reporting ready and being returned by lookups, serves late
	 * arrivals, waits until nothing is owed or the grace period ends and closes all
	 * sockets. The grace period runs from the signal, which may have come while this VM
	 * was starting.
	 * @param toldAt when the signal came, on the clock of {@link #nowMs}
	 */
	void drain(long toldAt) {
		DrainTimes times = DrainTimes.of(toldAt, this.settings.graceMs());
		long now = this.clock.getAsLong();
		Logger.info("[run] stopping in-progress={} told-ms-ago={}", this.gateway.inProgress(), now - toldAt);
		this.loop.execute(this::leave);
		Future<Void> done = new VmDrain(this.loop, this.clock, this.gateway, this.callers, this.tunnels,
				this.watcher::storeUnavailable, times)
			.start(this.servers.get(0)::dispose, this.ingress::endReading);
		awaitDrain(done, Math.max(0, times.closeAt() - now) + DRAIN_SLACK_MS);
		close();
	}

	private static void awaitDrain(Future<Void> done, long timeoutMs) {
		try {
			done.get(timeoutMs, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException | ExecutionException ex) {
			Logger.warn("[run] drain not finished seen=\"{}\"", ex.toString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Closes all sockets immediately. Further calls have no effect: a drained VM has
	 * already closed itself, and its event loop would reject new tasks.
	 */
	void close() {
		if (!this.closed.compareAndSet(false, true)) {
			return;
		}
		this.loop.execute(this.stages::stop);
		this.loop.execute(this.engineStats::stop);
		this.loop.execute(this.sharedQuarantine::stop);
		this.loop.execute(this.sharedVersions::stop);
		this.loop.execute(this.peers::stop);
		this.loop.execute(this.loadSampler::stop);
		this.loop.execute(this.gateway::stopSampling);
		this.loop.execute(this.watcher::stop);
		this.loop.execute(this.tunnels::close);
		this.servers.forEach((s) -> s.dispose());
		this.loop.close();
	}

	/**
	 * Returns the time on the clock of all VMs of this process.
	 * @return milliseconds since an arbitrary point in time
	 */
	static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	VmEventLoop loop() {
		return this.loop;
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

	private void leave() {
		this.draining = true;
		this.stages.stop();
		this.ingress.closeAfterResponses();
		this.registration.deregister().timeout(Duration.ofMillis(DEREGISTER_TIMEOUT_MS)).onErrorComplete().subscribe();
	}

}
