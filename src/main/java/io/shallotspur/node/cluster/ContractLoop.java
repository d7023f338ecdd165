package io.shallotspur.node.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import net.openhft.hashing.LongHashFunction;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.ContractValidator;
import io.shallotspur.distribution.AntiEntropy;
import io.shallotspur.distribution.ContractChange;
import io.shallotspur.distribution.ContractMessage;
import io.shallotspur.distribution.ContractStore;
import io.shallotspur.distribution.ContractTable;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.View;
import io.shallotspur.port.PeerNetwork;
import io.shallotspur.util.toml.Problems;

/**
 * Keeps the contracts of this VM up to date. Thread-safe.
 * <p>
 * What is accepted here or heard for the first time is passed on at once to a few peers;
 * a comparison with one peer a second finds what was missed. Only {@link StoreWatcher}s,
 * a fixed number in the whole fleet, look at the store.
 * <p>
 * Invariant: the table is touched by one scheduler thread only; all else reads the latest
 * set, which is immutable and never older than the one before.
 */
public final class ContractLoop {

	private static final long EXCHANGE_MS = 1000;

	private static final long ANSWER_TIMEOUT_MS = 2000;

	private static final int FANOUT = 4;

	private static final int MAX_PUSHED = 64;

	private static final int BATCH = 100;

	private final ContractTable table = new ContractTable();

	private final ContractStore store;

	private final PeerNetwork network;

	private final Supplier<View> view;

	private final Scheduler scheduler;

	private final Random random;

	private final StoreWatcher watcher;

	private final Sinks.Many<ContractSet> updates = Sinks.many().replay().latestOrDefault(ContractSet.empty());

	private final Disposable.Composite running = Disposables.composite();

	private volatile ContractSet contracts = ContractSet.empty();

	private volatile boolean ready;

	private volatile boolean complete;

	/**
	 * Creates a loop that does not run yet, and sets the handlers of its messages.
	 * @param store where contracts are kept
	 * @param network the peer links
	 * @param view gives the latest view of the membership
	 * @param scheduler runs one task at a time
	 * @param seed for the choice of peers
	 */
	public ContractLoop(ContractStore store, PeerNetwork network, Supplier<View> view, Scheduler scheduler, long seed) {
		this.store = store;
		this.network = network;
		this.view = view;
		this.scheduler = scheduler;
		this.random = new Random(LongHashFunction.xx3().hashLong(seed));
		this.watcher = new StoreWatcher(store, scheduler, this.random, this.table::size, (l) -> take(l, true),
				this::listed);
		network.onSend(ContractMessage.Push.class, (m) -> post(() -> take(m.contracts(), true)));
		network.onAsk(ContractMessage.DigestRequest.class,
				(m) -> run(() -> AntiEntropy.reply(this.table, this.complete, m)));
		network.onAsk(ContractMessage.LeavesRequest.class, (m) -> run(() -> AntiEntropy.reply(this.table, m)));
		network.onAsk(ContractMessage.ContractsRequest.class, (m) -> run(() -> AntiEntropy.reply(this.table, m)));
		network.onStream(ContractMessage.SnapshotRequest.class, (m) -> run(this.table::all).flatMapMany(this::batches));
	}

	/**
	 * Starts to fetch and compare.
	 */
	public void start() {
		this.running.add(this.scheduler.schedulePeriodically(this::exchange, this.random.nextInt((int) EXCHANGE_MS),
				EXCHANGE_MS, TimeUnit.MILLISECONDS));
		this.running.add(this.scheduler.schedulePeriodically(() -> this.watcher.tick(this.view.get(), this.ready),
				EXCHANGE_MS, EXCHANGE_MS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Stops.
	 */
	public void stop() {
		this.running.dispose();
		post(this.watcher::stop);
	}

	/**
	 * Returns the contracts in force at this VM.
	 * @return the latest set
	 */
	public ContractSet contracts() {
		return this.contracts;
	}

	/**
	 * Tells whether this VM has taken all contracts from a peer, or all that can be read
	 * from the store, at least once. Before that it would refuse customers whose
	 * contracts it merely lacks; those in records that cannot be read are told to come
	 * back ({@link ContractSet#isPartial()}).
	 * @return {@code true} if so; never turns back
	 */
	public boolean isReady() {
		return this.ready;
	}

	/**
	 * Follows the contracts in force.
	 * @return the latest set at once, then each later one
	 */
	public Flux<ContractSet> updates() {
		return this.updates.asFlux();
	}

	/**
	 * Carries out an operator's change. Fails as {@link ContractStore#apply} does, or
	 * with {@link ContractInvalidException}.
	 * @param change the change
	 * @return the contract as accepted; it is in force at this VM then
	 */
	public Mono<Contract> change(ContractChange change) {
		if (!this.complete) {
			// The shares of contracts that this VM lacks would not be counted.
			return Mono.error(new StoreUnavailableException("this VM has not got all contracts yet", null));
		}
		return run(this.table::all).flatMap((all) -> validated(change, all))
			.flatMap(this.store::apply)
			.publishOn(this.scheduler)
			.doOnNext((c) -> take(List.of(c), true));
	}

	private static Mono<ContractChange> validated(ContractChange change, List<Contract> all) {
		List<Contract> l = new ArrayList<>(all);
		l.removeIf((c) -> c.customer().equals(change.contract().customer()));
		l.add(change.contract());
		Problems p = new Problems("contract");
		ContractValidator.validate(l, p);
		return p.isEmpty() ? Mono.just(change)
				: Mono.error(new ContractInvalidException(p.toString(), change.contract().customer()));
	}

	private void take(List<Contract> received, boolean pass) {
		List<Contract> news = new ArrayList<>();
		for (Contract c : received) {
			if (this.table.updateIfNewer(c)) {
				news.add(c);
			}
		}
		if (this.ready && !this.store.hasUnreadableRecords()) {
			complete();
		}
		if (news.isEmpty()) {
			return;
		}
		publish();
		// A whole table is no news to the fleet; pushing it would send it everywhere
		// several times over. Whoever lacks part of it finds out by comparison.
		if (pass && news.size() <= MAX_PUSHED) {
			pick(FANOUT).forEach((m) -> this.network.send(m.peerAddress(), new ContractMessage.Push(news)));
		}
	}

	private void publish() {
		ContractSet all = this.table.snapshot();
		this.contracts = this.complete ? all : all.asPartial();
		this.updates.tryEmitNext(this.contracts);
	}

	private void listed() {
		this.ready = true;
		if (!this.store.hasUnreadableRecords()) {
			complete();
		}
		else if (!this.complete) {
			publish();
		}
	}

	private void complete() {
		this.ready = true;
		if (!this.complete) {
			this.complete = true;
			publish();
			Logger.info("[contract] Complete with {} contracts.", this.table.size());
		}
	}

	private void exchange() {
		for (Member m : pick(1)) {
			compare(m).subscribe((done) -> {
			}, (ex) -> Logger.debug("[contract] No comparison with {}: {}.", m.id(), ex.getMessage()));
		}
	}

	private Mono<Boolean> compare(Member m) {
		return ask(m, new ContractMessage.DigestRequest(this.table.digest()), ContractMessage.DigestReply.class)
			.flatMap((r) -> {
				if (!this.complete && r.ready()) {
					return snapshot(m);
				}
				if (!this.ready) {
					return Mono.just(false);
				}
				return (r.groupDigests().length > 0) ? fetch(m, r) : Mono.just(true);
			});
	}

	private Mono<Boolean> fetch(Member m, ContractMessage.DigestReply r) {
		ContractMessage.LeavesRequest groups = AntiEntropy.leavesRequest(this.table, r);
		return ask(m, groups, ContractMessage.LeavesReply.class)
			.flatMap((l) -> ask(m, AntiEntropy.contractsRequest(this.table, groups, l),
					ContractMessage.ContractsReply.class))
			.doOnNext((c) -> take(c.contracts(), false))
			.thenReturn(true);
	}

	private Mono<Boolean> snapshot(Member m) {
		return this.network.stream(m.peerAddress(), new ContractMessage.SnapshotRequest(this.view.get().self().id()))
			.publishOn(this.scheduler)
			.ofType(ContractMessage.ContractsReply.class)
			.doOnNext((r) -> take(r.contracts(), false))
			.then(Mono.fromSupplier(() -> {
				complete();
				return true;
			}));
	}

	private Flux<ContractMessage.ContractsReply> batches(List<Contract> all) {
		if (!this.complete) {
			return Flux.error(new PeerException("this VM's contracts are not complete", null));
		}
		return Flux.fromIterable(all).buffer(BATCH).map(ContractMessage.ContractsReply::new);
	}

	private <T> Mono<T> ask(Member m, ContractMessage question, Class<T> answer) {
		return this.network.ask(m.peerAddress(), question, ANSWER_TIMEOUT_MS).ofType(answer).publishOn(this.scheduler);
	}

	private List<Member> pick(int count) {
		View v = this.view.get();
		List<Member> l = new ArrayList<>(v.live());
		l.addAll(v.leaving());
		l.removeIf((m) -> m.id().equals(v.self().id()));
		Collections.shuffle(l, this.random);
		return List.copyOf(l.subList(0, Math.min(count, l.size())));
	}

	private void post(Runnable task) {
		this.scheduler.schedule(task);
	}

	private <T> Mono<T> run(Supplier<T> task) {
		return Mono.fromSupplier(task).subscribeOn(this.scheduler);
	}

}
