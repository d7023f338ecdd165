package io.shallotspur.node;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.ledger.IntentLedger;
import io.shallotspur.port.Engine;
import io.shallotspur.port.PeerNetwork;
import io.shallotspur.port.PlainService;
import io.shallotspur.record.PrefillLog;
import io.shallotspur.record.RequestLog;
import io.shallotspur.resume.ResumeKey;
import io.shallotspur.resume.ResumeTokens;

/**
 * Builds an {@link EntryVm}. Not thread-safe. A port that has no documented default must
 * be set, or {@link #build()} fails with {@link IllegalStateException}.
 */
public final class EntryVmBuilder {

	private static final long DEFAULT_GRACE_MS = 10_000;

	private static final Duration DEFAULT_SWEEP = Duration.ofSeconds(2);

	private static final long TOKEN_TTL_MS = 120_000;

	final String vm;

	final long incarnation;

	final List<NodePart> parts = new ArrayList<>();

	@Nullable Engine engine;

	@Nullable PlainService plainService;

	@Nullable IntentLedger ledger;

	@Nullable PeerNetwork peers;

	@Nullable Ownership ownership;

	@Nullable Locator locator;

	@Nullable SchedulerFactory schedulers;

	@Nullable FrontEnd frontEnd;

	ResumeTokens resume = ownTokens();

	LongSupplier clock = System::currentTimeMillis;

	Function<String, Scheduler> threads = (cell) -> Schedulers.newSingle("cell-" + cell, true);

	Flux<ContractSet> contracts = Flux.empty();

	ContractSet initialContracts = ContractSet.empty();

	Function<String, Owner> workerOwners = (worker) -> new Owner.Nobody();

	Incarnations incarnations = (name, number) -> true;

	long orphanGraceMs = DEFAULT_GRACE_MS;

	Duration sweepEvery = DEFAULT_SWEEP;

	RequestLog requestLog = (end, now) -> {
	};

	PrefillLog prefillLog = (customer, className, computed, wasted, now) -> {
	};

	EntryVmBuilder(String vm, long incarnation) {
		this.vm = vm;
		this.incarnation = incarnation;
	}

	/**
	 * Sets the model engines.
	 * @param engine the engines
	 * @return this builder
	 */
	public EntryVmBuilder engine(Engine engine) {
		this.engine = engine;
		return this;
	}

	/**
	 * Sets the plain services.
	 * @param plainService the services
	 * @return this builder
	 */
	public EntryVmBuilder plainService(PlainService plainService) {
		this.plainService = plainService;
		return this;
	}

	/**
	 * Sets what lets a request run at most once.
	 * @param ledger the ledger
	 * @return this builder
	 */
	public EntryVmBuilder ledger(IntentLedger ledger) {
		this.ledger = ledger;
		return this;
	}

	/**
	 * Sets the messages between entry VMs.
	 * @param peers the network, not yet started
	 * @return this builder
	 */
	public EntryVmBuilder peers(PeerNetwork peers) {
		this.peers = peers;
		return this;
	}

	/**
	 * Sets who knows which VM admits which requests.
	 * @param ownership the ownership
	 * @return this builder
	 */
	public EntryVmBuilder ownership(Ownership ownership) {
		this.ownership = ownership;
		return this;
	}

	/**
	 * Sets what tells callers which VM to use.
	 * @param locator the locator
	 * @return this builder
	 */
	public EntryVmBuilder locator(Locator locator) {
		this.locator = locator;
		return this;
	}

	/**
	 * Sets what makes the schedulers.
	 * @param schedulers the factory
	 * @return this builder
	 */
	public EntryVmBuilder schedulers(SchedulerFactory schedulers) {
		this.schedulers = schedulers;
		return this;
	}

	/**
	 * Sets what callers connect to.
	 * @param frontEnd the front end
	 * @return this builder
	 */
	public EntryVmBuilder frontEnd(FrontEnd frontEnd) {
		this.frontEnd = frontEnd;
		return this;
	}

	/**
	 * Sets what makes resume tokens; by default a secret of this VM's own, so that its
	 * tokens are good here only.
	 * @param resume makes and checks tokens
	 * @return this builder
	 */
	public EntryVmBuilder resume(ResumeTokens resume) {
		this.resume = resume;
		return this;
	}

	/**
	 * Sets the clock; by default the system's.
	 * @param clock gives the present time in milliseconds
	 * @return this builder
	 */
	public EntryVmBuilder clock(LongSupplier clock) {
		this.clock = clock;
		return this;
	}

	/**
	 * Sets the contracts in force at the start and those that follow; by default none.
	 * @param initial the contracts at the start
	 * @param updates all contracts, each time that one changes
	 * @return this builder
	 */
	public EntryVmBuilder contracts(ContractSet initial, Flux<ContractSet> updates) {
		this.initialContracts = initial;
		this.contracts = updates;
		return this;
	}

	/**
	 * Sets the threads of the cells; by default one new daemon thread each.
	 * @param threads makes a scheduler of one thread, by the name of the cell
	 * @return this builder
	 */
	public EntryVmBuilder threads(Function<String, Scheduler> threads) {
		this.threads = threads;
		return this;
	}

	/**
	 * Sets what is known of other entry VMs; by default all of them live, and nobody is
	 * told of streams that callers came back for.
	 * @param incarnations knows which VMs have died
	 * @param workerOwners finds the owner of a worker's cell, by the worker's id
	 * @return this builder
	 */
	public EntryVmBuilder others(Incarnations incarnations, Function<String, Owner> workerOwners) {
		this.incarnations = incarnations;
		this.workerOwners = workerOwners;
		return this;
	}

	/**
	 * Sets how streams are swept that nobody waits for; by default every 2 s, with 10 s
	 * of grace.
	 * @param every the pause between sweeps
	 * @param graceMs how long callers may take to come back, in milliseconds
	 * @return this builder
	 */
	public EntryVmBuilder orphans(Duration every, long graceMs) {
		this.sweepEvery = every;
		this.orphanGraceMs = graceMs;
		return this;
	}

	/**
	 * Sets what is told of the end of each caller's request; by default nothing.
	 * @param requestLog the log
	 * @return this builder
	 */
	public EntryVmBuilder requestLog(RequestLog requestLog) {
		this.requestLog = requestLog;
		return this;
	}

	/**
	 * Sets who is told what was prefilled for each request that ran here; by default
	 * nobody.
	 * @param prefillLog the log
	 * @return this builder
	 */
	public EntryVmBuilder prefillLog(PrefillLog prefillLog) {
		this.prefillLog = prefillLog;
		return this;
	}

	/**
	 * Adds a part with a life-cycle of its own.
	 * @param part the part
	 * @return this builder
	 */
	public EntryVmBuilder part(NodePart part) {
		this.parts.add(part);
		return this;
	}

	/**
	 * Builds the entry VM.
	 * @return the VM, not started
	 */
	public EntryVm build() {
		return new EntryVm(this);
	}

	NodePorts ports() {
		return new NodePorts(this.vm, this.incarnation, need(this.engine, "engine"),
				need(this.plainService, "plainService"), need(this.ledger, "ledger"), this.resume, this.prefillLog,
				this.clock);
	}

	private static ResumeTokens ownTokens() {
		byte[] secret = new byte[ResumeKey.MIN_SECRET_BYTES];
		new SecureRandom().nextBytes(secret);
		return new ResumeTokens(List.of(new ResumeKey("own", secret)), TOKEN_TTL_MS);
	}

	<T> T need(@Nullable T port, String what) {
		if (port == null) {
			throw new IllegalStateException("The entry VM needs " + what + ".");
		}
		return port;
	}

}
