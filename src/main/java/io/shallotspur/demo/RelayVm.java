package io.shallotspur.demo;

import java.time.Duration;
import java.util.List;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

import io.shallotspur.adapter.caller.CallerServer;
import io.shallotspur.adapter.caller.CallerSettings;
import io.shallotspur.adapter.engine.HttpEngine;
import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.adapter.peer.PeerSettings;
import io.shallotspur.adapter.peer.TcpPeerNetwork;
import io.shallotspur.cell.CellScheduler;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.ledger.InMemoryLedger;
import io.shallotspur.node.CellAssignment;
import io.shallotspur.node.EntryVm;
import io.shallotspur.node.Location;
import io.shallotspur.node.Owner;
import io.shallotspur.node.SchedulerFactory;
import io.shallotspur.plain.PlainScheduler;
import io.shallotspur.plain.PlainSettings;
import io.shallotspur.plain.StdPlainScheduler;

/**
 * An entry VM whose relay runs on one thread, and that admits every request. Not
 * thread-safe.
 */
final class RelayVm {

	static final String TOKEN = "relay-token";

	static final String CLASS = "c";

	private static final Duration PATIENCE = Duration.ofSeconds(20);

	private static final String CELL = "cell";

	private static final String TOKEN_HASH = "d3d2f8a707788ef0b5637800609e6675021829336eee40c1d82230c5c58cadf5";

	private final LoopResources loops = LoopResources.create("relay", 1, true);

	private final HttpEngine engine = new HttpEngine(this.loops);

	private final EntryVm vm;

	/**
	 * Creates an entry VM before one source.
	 * @param source the address of the source
	 * @throws SettingsException if the peer links cannot be made
	 */
	RelayVm(String source) throws SettingsException {
		RequestClass c = new RequestClass(CLASS, "m", 1, 600_000, 1000, 3_600_000, true);
		Contract terms = new Contract("relay", 1, 1, List.of(TOKEN_HASH), List.of(c), false);
		PeerSettings peers = PeerSettings.of("127.0.0.1", 0, "relay", new byte[32]);
		this.vm = EntryVm.builder("relay", 1)
			.engine(this.engine)
			.plainService((w, call) -> Mono.empty())
			.ledger(new InMemoryLedger())
			.peers(new TcpPeerNetwork(peers, PeerCodec.builder().build()))
			.ownership((upstream, customer, prefix) -> new Owner.Self(CELL))
			.locator((customer, className, now) -> new Location(List.of(), 0))
			.schedulers(new OpenSchedulers())
			.contracts(ContractSet.of(List.of(terms)), Flux.never())
			.frontEnd(new CallerServer(CallerSettings.defaults(), this.loops))
			.build();
		this.vm.start().block(PATIENCE);
		List<Worker> workers = List.of(worker("p", WorkerRole.PREFILL, source), worker("d", WorkerRole.DECODE, source));
		this.vm.cells().assign(new CellAssignment(CELL, "m", workers));
	}

	String callerAddress() {
		return this.vm.callerAddress();
	}

	void close() {
		this.vm.close().block(PATIENCE);
		this.engine.close();
		this.loops.dispose();
	}

	private static Worker worker(String id, WorkerRole role, String address) {
		return new Worker(id, "m", "hall", role, address, Integer.MAX_VALUE, 0, 0, 0, 0);
	}

	/**
	 * Makes schedulers that admit everything.
	 */
	private static final class OpenSchedulers implements SchedulerFactory {

		@Override
		public CellScheduler cell(String cell, ContractSet contracts) {
			return new OpenScheduler("p", "d");
		}

		@Override
		public PlainScheduler plain(String upstream, ContractSet contracts) {
			return new StdPlainScheduler(PlainSettings.defaults(), contracts, 1);
		}

	}

}
