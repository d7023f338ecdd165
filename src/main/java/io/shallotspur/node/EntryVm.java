package io.shallotspur.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.port.PeerNetwork;

/**
 * One entry VM, assembled from its ports. Thread-safe. Each of {@link #start()},
 * {@link #drain()} and {@link #close()} is subscribed to once, in this order.
 */
public final class EntryVm {

	private static final Duration DRAIN_POLL = Duration.ofMillis(20);

	private final String name;

	private final CellHost cells;

	private final StdRequestHandler handler;

	private final FrontEnd frontEnd;

	private final OrphanSweeper sweeper;

	private final Duration sweepEvery;

	private final List<NodePart> parts;

	private final Flux<ContractSet> contractSource;

	private final RequestHandler recorded;

	private volatile ContractSet contracts;

	private volatile String callerAddress = "";

	private @Nullable Disposable contractUpdates;

	EntryVm(EntryVmBuilder b) {
		this.name = b.vm;
		this.frontEnd = b.need(b.frontEnd, "frontEnd");
		this.parts = List.copyOf(b.parts);
		this.contractSource = b.contracts;
		this.contracts = b.initialContracts;
		PeerNetwork peers = b.need(b.peers, "peers");
		NodePorts ports = b.ports();
		this.cells = new CellHost(ports, b.need(b.schedulers, "schedulers"), b.threads);
		this.cells.setContracts(this.contracts);
		StreamAdoptions adoptions = new StreamAdoptions(ports, peers, b.workerOwners);
		this.sweeper = new OrphanSweeper(ports, this.cells, adoptions, b.incarnations, b.orphanGraceMs);
		this.sweepEvery = b.sweepEvery;
		StreamResumer resumer = new StreamResumer(ports, adoptions);
		this.handler = new StdRequestHandler(ports, this.cells, this::contracts, b.need(b.ownership, "ownership"),
				b.need(b.locator, "locator"), new Forwarder(ports, peers, resumer), resumer);
		this.recorded = new RecordingHandler(this.handler, this::contracts, b.requestLog, b.clock);
		new ForwardReceiver(ports, this::contracts, this.handler).listen(peers);
	}

	/**
	 * Begins to build an entry VM.
	 * @param vm the name of the VM
	 * @param incarnation rises with each start of the VM
	 * @return the builder
	 */
	public static EntryVmBuilder builder(String vm, long incarnation) {
		return new EntryVmBuilder(vm, incarnation);
	}

	/**
	 * Starts: the parts first, callers last.
	 * @return the address for callers, {@code host:port}
	 */
	public Mono<String> start() {
		return Mono.defer(() -> {
			this.contractUpdates = this.contractSource.subscribe(this::setContracts,
					(ex) -> Logger.error(ex, "[node] Contracts are no longer followed."));
			return Flux.fromIterable(this.parts)
				.concatMap(NodePart::start)
				.then(this.frontEnd.start(this.recorded))
				.doOnNext((a) -> {
					this.callerAddress = a;
					this.sweeper.start(this.sweepEvery);
					Logger.info("[node] {} takes callers on {}.", this.name, a);
				});
		});
	}

	/**
	 * Leaves in good order: tells the others, takes no new work, and waits for the
	 * requests in progress and for what callers have not taken of their answers.
	 * @return completes when no request is left
	 */
	public Mono<Void> drain() {
		return Mono.defer(() -> {
			Logger.info("[node] {} is leaving.", this.name);
			return Flux.fromIterable(this.parts)
				.concatMap(NodePart::drain)
				.then(Mono.fromRunnable(this::refuseNew))
				.thenMany(Flux.interval(DRAIN_POLL))
				.takeUntil((i) -> openRequests() == 0 && this.frontEnd.openAnswers() == 0)
				.then();
		});
	}

	/**
	 * Stops at once. Answers in progress are cut off, but not cancelled at the engines:
	 * their callers can get the rest from another VM.
	 * @return completes when nothing is left running
	 */
	public Mono<Void> close() {
		return Mono.defer(() -> {
			List<NodePart> reversed = new ArrayList<>(this.parts);
			Collections.reverse(reversed);
			return Mono.fromRunnable(this::stopCells)
				.then(this.frontEnd.stop())
				.publishOn(Schedulers.boundedElastic())
				.thenMany(Flux.fromIterable(reversed).concatMap(NodePart::close))
				.then();
		});
	}

	/**
	 * Returns the cells, so that the membership can assign them.
	 * @return the cells
	 */
	public CellHost cells() {
		return this.cells;
	}

	/**
	 * Returns the contracts in force here.
	 * @return the contracts
	 */
	public ContractSet contracts() {
		return this.contracts;
	}

	/**
	 * Returns where callers connect.
	 * @return {@code host:port}, or empty before the start
	 */
	public String callerAddress() {
		return this.callerAddress;
	}

	/**
	 * Returns how many requests have not ended, here or in a cell.
	 * @return the number
	 */
	public int openRequests() {
		return Math.max(this.handler.openRequests(), this.cells.openRequests());
	}

	private void setContracts(ContractSet set) {
		this.contracts = set;
		this.cells.setContracts(set);
	}

	private void refuseNew() {
		this.handler.drain();
		this.frontEnd.drain();
	}

	private void stopCells() {
		if (this.contractUpdates != null) {
			this.contractUpdates.dispose();
		}
		this.sweeper.close();
		this.cells.close();
	}

}
