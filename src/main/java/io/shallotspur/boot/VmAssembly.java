package io.shallotspur.boot;

import java.time.Duration;
import java.util.Random;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import io.shallotspur.adapter.admin.AdminServer;
import io.shallotspur.adapter.admin.AdminSources;
import io.shallotspur.adapter.caller.CallerServer;
import io.shallotspur.adapter.engine.HttpEngine;
import io.shallotspur.adapter.peer.TcpPeerNetwork;
import io.shallotspur.adapter.plain.HttpPlainService;
import io.shallotspur.adapter.store.BudgetedKvStore;
import io.shallotspur.adapter.store.HttpKvStore;
import io.shallotspur.adapter.vmlist.HttpVmList;
import io.shallotspur.cfg.Settings;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.ledger.Attempt;
import io.shallotspur.ledger.IntentLedger;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.node.EntryVm;
import io.shallotspur.node.NodePart;
import io.shallotspur.node.RecordLoop;
import io.shallotspur.node.StdSchedulers;
import io.shallotspur.node.cluster.CellSink;
import io.shallotspur.node.cluster.ClusterService;
import io.shallotspur.node.ledger.LedgerService;
import io.shallotspur.node.quarantine.SuspectExchange;
import io.shallotspur.quarantine.CrashSuspects;
import io.shallotspur.record.NodeMetrics;
import io.shallotspur.record.RecordLimits;
import io.shallotspur.record.RecordWriter;
import io.shallotspur.record.Recorder;

/**
 * Builds one entry VM from its settings. Not thread-safe; one instance builds once.
 */
public final class VmAssembly {

	private static final int TOP_CUSTOMERS = 100;

	private static final Duration SWEEP = Duration.ofSeconds(2);

	private static final Duration QUARANTINE_REPAIR = Duration.ofSeconds(5);

	private static final Duration QUARANTINE_TELL = Duration.ofMillis(50);

	private static final Duration SHARE_OUT = Duration.ofSeconds(1);

	private static final int MAX_SLICES = 20_000;

	private static final long PLAIN_TIMEOUT_MS = 60_000;

	private final Settings settings;

	private final LongSupplier clock = new MonotonicClock();

	private final long incarnation = this.clock.getAsLong();

	private final Scheduler control = Schedulers.newSingle("control", true);

	private final NodeMetrics metrics = new NodeMetrics(TOP_CUSTOMERS);

	private final CrashSuspects suspects = new CrashSuspects();

	private final Recorder recorder;

	private final RecordWriter recordWriter;

	private final Member self;

	private final TcpPeerNetwork peers;

	private final BudgetedKvStore store;

	private final ClusterService cluster;

	/**
	 * Creates the parts that the others work through.
	 * @param settings the checked settings
	 * @throws SettingsException if the certificates cannot be used
	 */
	public VmAssembly(Settings settings) throws SettingsException {
		this.settings = settings;
		this.self = new Member(settings.node().id(), settings.node().hall(), settings.peers().advertise().toString(),
				settings.callers().advertise().toString(), this.incarnation, MemberStatus.ALIVE);
		this.peers = new TcpPeerNetwork(SettingsMapping.peers(settings), PeerTypes.codec());
		long timeout = settings.platform().timeoutMs();
		this.store = new BudgetedKvStore(new HttpKvStore(SettingsMapping.url(settings.platform().store()), timeout),
				SettingsMapping.budget(settings.platform()), this.clock);
		this.recorder = new Recorder(settings.node().id(), this.incarnation, MAX_SLICES);
		this.recordWriter = new RecordWriter(this.store, this.recorder, RecordLimits.defaults());
		HttpVmList list = new HttpVmList(SettingsMapping.url(settings.platform().vmList()), timeout);
		this.cluster = new ClusterService(this.self, SettingsMapping.workers(settings),
				new ClusterService.Ports(this.peers, this.store, list, this.control, this.clock),
				settings.platform().vmListPollMs(), this.incarnation ^ settings.node().id().hashCode());
	}

	/**
	 * Builds the entry VM.
	 * @return the VM, not started
	 */
	public BootedVm build() {
		HttpEngine engine = new HttpEngine();
		HttpPlainService plain = new HttpPlainService(PLAIN_TIMEOUT_MS,
				SettingsMapping.callers(this.settings.callers()).maxAnswerBytes());
		ClusterReadings r = new ClusterReadings(this.cluster);
		EntryVm vm = EntryVm.builder(this.settings.node().id(), this.incarnation)
			.clock(this.clock)
			.engine(engine)
			.plainService(plain)
			.ledger(ledger(r))
			.peers(this.peers)
			.ownership(this.cluster)
			.locator(this.cluster)
			.schedulers(new StdSchedulers(this.suspects))
			.resume(SettingsMapping.resume(this.settings))
			.contracts(ContractSet.empty(), this.cluster.contracts().updates())
			.others(r::isLive, r::ownerOfWorker)
			.orphans(SWEEP, this.settings.resume().orphanGraceMs())
			.frontEnd(new CallerServer(SettingsMapping.callers(this.settings.callers())))
			.part(PartOf.closing(closeClients(engine, plain)))
			.part(PartOf.startAndStop(this.peers.start(), this.peers::stop))
			.part(this.cluster)
			.part(housekeeping(r))
			.requestLog(this.recorder.and((end, now) -> this.metrics.finished(end)))
			.prefillLog(this.recorder.and(this.metrics))
			.part(new RecordLoop(this.recordWriter, this.metrics, this.clock))
			.part(admin())
			.build();
		this.cluster.attach(CellSink.of(vm.cells()), vm.cells()::loads);
		registerGauges(vm);
		return new BootedVm(vm, this.cluster, this.settings.drainGraceMs());
	}

	private Mono<Void> closeClients(HttpEngine engine, HttpPlainService plain) {
		return Mono.fromRunnable(() -> {
			engine.close();
			plain.close();
			this.control.dispose();
		});
	}

	private IntentLedger ledger(ClusterReadings r) {
		Attempt node = new Attempt(this.self.peerAddress(), this.incarnation, 0);
		return new LedgerService(node,
				SettingsMapping.ledger(this.settings.ledger(), this.settings.platform().timeoutMs()), this.store,
				this.peers, r::shardOwner, r::isAlive, Schedulers.newSingle("ledger", true), this.metrics.registry());
	}

	private Repeating housekeeping(ClusterReadings r) {
		SuspectExchange x = new SuspectExchange(this.self.peerAddress(), this.suspects, this.peers, r::others,
				this.control);
		Random random = new Random(this.incarnation);
		return new Repeating(this.control).with(SHARE_OUT, () -> this.store.setMembers(r.liveCount()))
			.with(QUARANTINE_TELL, x::tellChanges)
			.with(QUARANTINE_REPAIR, () -> x.repair(random));
	}

	private NodePart admin() {
		AdminServer a = new AdminServer(SettingsMapping.admin(this.settings),
				new AdminSources(this.cluster.contracts()::contracts, this.cluster.contracts()::change,
						this.cluster::isReady, this.metrics::scrape));
		return PartOf.startAndStop(a.start(), () -> a.stop().subscribe());
	}

	private void registerGauges(EntryVm vm) {
		gauge("requests.open", vm::openRequests);
		gauge("members.live", () -> this.cluster.view().live().size());
		gauge("cells.owned", () -> vm.cells().owned().size());
		gauge("contracts.count", () -> this.cluster.contracts().contracts().all().size());
		gauge("store.reads", () -> this.store.use().reads());
		gauge("store.writes", () -> this.store.use().writes());
		gauge("store.watches", () -> this.store.use().openWatches());
		gauge("store.refused", () -> this.store.use().refused());
		gauge("record.pending", this.recordWriter::pending);
		gauge("record.dropped", this.recordWriter::droppedRequests);
		gauge("quarantine.entries", () -> this.suspects.entries(this.clock.getAsLong()).size());
		gauge("peers.bytes.control.out", () -> this.peers.traffic().bytesOut(0, TcpPeerNetwork.FIRST_DATA_TYPE));
		gauge("peers.bytes.control.in", () -> this.peers.traffic().bytesIn(0, TcpPeerNetwork.FIRST_DATA_TYPE));
	}

	private void gauge(String name, Gauge<?> value) {
		this.metrics.registry().register(name, value);
	}

}
