package io.shallotspur.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import io.shallotspur.adapter.caller.CallerServer;
import io.shallotspur.adapter.caller.CallerSettings;
import io.shallotspur.adapter.engine.HttpEngine;
import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.adapter.peer.PeerSettings;
import io.shallotspur.adapter.peer.TcpPeerNetwork;
import io.shallotspur.adapter.plain.HttpPlainService;
import io.shallotspur.adapter.store.HttpKvStore;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.ledger.Attempt;
import io.shallotspur.node.CellAssignment;
import io.shallotspur.node.EntryVm;
import io.shallotspur.node.Location;
import io.shallotspur.node.NodePart;
import io.shallotspur.node.Owner;
import io.shallotspur.node.StdSchedulers;
import io.shallotspur.node.forward.ForwardTypes;
import io.shallotspur.node.ledger.AnswerAsk;
import io.shallotspur.node.ledger.AnswerReply;
import io.shallotspur.node.ledger.EndAck;
import io.shallotspur.node.ledger.EndTold;
import io.shallotspur.node.ledger.IntentAsk;
import io.shallotspur.node.ledger.IntentReply;
import io.shallotspur.node.ledger.LedgerService;
import io.shallotspur.node.ledger.LedgerSettings;
import io.shallotspur.standin.EngineStandin;
import io.shallotspur.standin.EngineStandinSettings;
import io.shallotspur.standin.PlainStandin;
import io.shallotspur.standin.store.StoreStandin;

/**
 * Three entry VMs, the stand-ins of both deployments and of the platform, all in this
 * process, on ports of 127.0.0.1. Not thread-safe.
 */
final class DemoFleet implements DemoTarget {

	static final Duration PATIENCE = Duration.ofSeconds(10);

	private static final String HOST = "127.0.0.1";

	private static final int VMS = 3;

	private static final long LOCATE_TTL_MS = 2000;

	private static final long STORE_TIMEOUT_MS = 1000;

	private final ContractSet contracts = DemoContracts.contracts();

	private final StoreStandin store = new StoreStandin(System::currentTimeMillis);

	private final EngineStandin engines;

	private final List<PlainStandin> plain = new ArrayList<>();

	private final List<CellAssignment> cells = new ArrayList<>();

	private final List<EntryVm> vms = new ArrayList<>();

	private final List<String> peerAddresses = new ArrayList<>();

	private final HttpEngine engine = new HttpEngine();

	private final HttpPlainService service = new HttpPlainService(PATIENCE.toMillis(),
			CallerSettings.defaults().maxAnswerBytes());

	DemoFleet() {
		List<Worker> all = new ArrayList<>(models("resumo-llm", "resumo", 3, 5));
		all.addAll(models("draft-llm", "draft", 2, 4));
		this.engines = new EngineStandin(EngineStandinSettings.small(all));
	}

	/**
	 * Starts everything.
	 * @throws ShallotspurException if a part cannot be started
	 */
	void start() throws ShallotspurException {
		String storeAddress = HOST + ":" + this.store.start(HOST, 0).getPort();
		startWorkers();
		for (int i = 0; i < VMS; i++) {
			this.peerAddresses.add(HOST + ":" + freePort());
		}
		for (int i = 0; i < VMS; i++) {
			this.vms.add(startVm(i, storeAddress));
		}
		this.cells.forEach((c) -> this.vms.get(ownerOf(c.upstream())).cells().assign(c));
	}

	void close() {
		this.vms.forEach((v) -> v.close().block(PATIENCE));
		this.engines.close();
		this.plain.forEach(PlainStandin::close);
		this.engine.close();
		this.service.close();
		this.store.stop();
	}

	@Override
	public List<String> callers() {
		return this.vms.stream().map(EntryVm::callerAddress).toList();
	}

	List<EntryVm> vms() {
		return this.vms;
	}

	@Override
	public int heldAtEngines() {
		return this.engines.readState()
			.map((s) -> s.valueStream().mapToInt((w) -> w.path("active").asInt()).sum())
			.blockOptional(PATIENCE)
			.orElse(0);
	}

	@Override
	public Map<String, Integer> runs() {
		Map<String, Integer> all = new HashMap<>();
		this.plain.forEach((p) -> p.runs().forEach((k, n) -> all.merge(k, n.get(), Integer::sum)));
		return all;
	}

	private void startWorkers() {
		String address = block(this.engines.start());
		List<Worker> all = this.engines.workersAt(address);
		for (String u : List.of("resumo-llm", "draft-llm")) {
			this.cells
				.add(new CellAssignment(u + "/0", u, all.stream().filter((w) -> w.upstream().equals(u)).toList()));
		}
		this.cells.add(new CellAssignment("renova-app", "renova-app", plain("renova-app", "renova")));
		this.cells.add(new CellAssignment("kiosk-api", "kiosk-api", plain("kiosk-api", "kiosk")));
	}

	private List<Worker> plain(String upstream, String prefix) {
		List<Worker> l = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			PlainStandin p = new PlainStandin(prefix + "-" + i, 15);
			this.plain.add(p);
			l.add(new Worker(prefix + "-" + i, upstream, "hall-" + i, WorkerRole.PLAIN, block(p.start()), 16, 0, 0, 0,
					0));
		}
		return l;
	}

	private EntryVm startVm(int i, String storeAddress) throws ShallotspurException {
		TcpPeerNetwork peers = peers(this.peerAddresses.get(i));
		LedgerService ledger = new LedgerService(new Attempt(this.peerAddresses.get(i), 1, 0), LedgerSettings.DEFAULT,
				new HttpKvStore("http://" + storeAddress, STORE_TIMEOUT_MS), peers,
				(shard) -> this.peerAddresses.get(shard % VMS), (address, incarnation) -> true,
				Schedulers.newSingle("ledger-" + i, true), new MetricRegistry());
		EntryVm vm = EntryVm.builder("entry-" + (i + 1), 1)
			.engine(this.engine)
			.plainService(this.service)
			.ledger(ledger)
			.peers(peers)
			.part(part(peers))
			.ownership((upstream, customer, prefix) -> find(i, upstream))
			.locator((customer, className, now) -> locate(customer, className))
			.schedulers(new StdSchedulers())
			.contracts(this.contracts, Flux.never())
			.frontEnd(new CallerServer(CallerSettings.defaults()))
			.build();
		vm.start().block(PATIENCE);
		return vm;
	}

	private TcpPeerNetwork peers(String address) throws SettingsException {
		PeerCodec.Builder codec = PeerCodec.builder();
		ForwardTypes.all().forEach(codec::register);
		codec.register(IntentAsk.TYPE, IntentAsk.class)
			.register(IntentReply.TYPE, IntentReply.class)
			.register(EndTold.TYPE, EndTold.class)
			.register(EndAck.TYPE, EndAck.class)
			.register(AnswerAsk.TYPE, AnswerAsk.class)
			.register(AnswerReply.TYPE, AnswerReply.class);
		int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
		byte[] secret = new byte[32];
		return new TcpPeerNetwork(PeerSettings.of(HOST, port, "demo", secret), codec.build());
	}

	private Owner find(int self, String upstream) {
		int owner = ownerOf(upstream);
		Optional<CellAssignment> c = this.cells.stream().filter((x) -> x.upstream().equals(upstream)).findFirst();
		if (c.isEmpty()) {
			return new Owner.Nobody();
		}
		return (owner == self) ? new Owner.Self(c.get().cell()) : new Owner.Peer(this.peerAddresses.get(owner));
	}

	private Location locate(String customer, String className) {
		int owner = this.contracts.find(customer)
			.flatMap((c) -> c.findClass(className))
			.map((c) -> ownerOf(c.upstream()))
			.orElse(0);
		return new Location(
				IntStream.range(0, VMS).mapToObj((i) -> this.vms.get((owner + i) % VMS).callerAddress()).toList(),
				LOCATE_TTL_MS);
	}

	private static int ownerOf(String upstream) {
		return switch (upstream) {
			case "resumo-llm" -> 0;
			case "draft-llm" -> 1;
			default -> 2;
		};
	}

	private static NodePart part(TcpPeerNetwork peers) {
		return new NodePart() {

			@Override
			public Mono<Void> start() {
				return peers.start().then();
			}

			@Override
			public Mono<Void> close() {
				return Mono.fromRunnable(peers::stop);
			}

		};
	}

	private static List<Worker> models(String upstream, String prefix, int prefill, int decode) {
		List<Worker> l = new ArrayList<>();
		for (int i = 1; i <= prefill + decode; i++) {
			boolean p = i <= prefill;
			l.add(new Worker(prefix + "-" + i, upstream, "hall-" + (i % 3), p ? WorkerRole.PREFILL : WorkerRole.DECODE,
					"", p ? 0 : 20, p ? 24_000 : 0, p ? 800 : 0, p ? 0 : 3000, p ? 0 : 0.1));
		}
		return l;
	}

	private static int freePort() throws PeerException {
		try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
			return s.getLocalPort();
		}
		catch (IOException ex) {
			throw new PeerException("No port is free.", HOST, ex);
		}
	}

	private static String block(Mono<String> m) {
		return m.blockOptional(PATIENCE).orElseThrow();
	}

}
