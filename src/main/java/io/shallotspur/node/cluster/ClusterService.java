package io.shallotspur.node.cluster;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.contract.Contract;
import io.shallotspur.distribution.ContractStore;
import io.shallotspur.fleet.Worker;
import io.shallotspur.locate.CellLoad;
import io.shallotspur.locate.CellMap;
import io.shallotspur.locate.CellDefinition;
import io.shallotspur.locate.CellPartitioner;
import io.shallotspur.locate.LoadTable;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.Membership;
import io.shallotspur.membership.MembershipSettings;
import io.shallotspur.membership.View;
import io.shallotspur.node.CellAssignment;
import io.shallotspur.node.Location;
import io.shallotspur.node.Locator;
import io.shallotspur.node.NodePart;
import io.shallotspur.node.Owner;
import io.shallotspur.node.Ownership;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.PeerNetwork;
import io.shallotspur.port.VmEntry;
import io.shallotspur.port.VmList;

/**
 * What one entry VM does together with the others: membership, contracts, ownership of
 * cells, locate and leave. Thread-safe.
 * <p>
 * Invariant: answers come from memory and never wait for a peer or the store. Only
 * contracts can be changed through it, and only those need the store.
 */
public final class ClusterService implements NodePart, Locator, Ownership {

	private static final long TTL_MS = 2000;

	private static final long TTL_SPREAD_MS = 1000;

	private static final long LOADS_MS = 1000;

	private static final int LOADS_HEARD = 16;

	private static final int LOADS_FANOUT = 2;

	private static final long TELL_MS = 300;

	private final MembershipLoop membership;

	private final ContractLoop contracts;

	private final VmListLoop vmList;

	private final PeerNetwork network;

	private final Scheduler scheduler;

	private final LongSupplier clock;

	private final List<CellDefinition> plans;

	private final Random random;

	private final LoadTable loads = new LoadTable();

	private final Map<String, CellAssignment> assigned = new HashMap<>();

	private final Map<String, CellAssignment> known = new HashMap<>();

	private Set<String> placedLeaving = Set.of();

	private final Disposable.Composite running = Disposables.composite();

	private volatile CellMap cells;

	private volatile boolean draining;

	private Supplier<List<CellLoad>> ownLoads = List::of;

	private @Nullable CellSink sink;

	/**
	 * Creates a service that does not run yet, and sets the handlers of its messages.
	 * @param self this VM; its incarnation is the start time of the process
	 * @param workers all workers of the deployment
	 * @param ports what it works through
	 * @param vmPollMs how often the VM list is read, in milliseconds
	 * @param seed for all that is random
	 */
	public ClusterService(Member self, List<Worker> workers, Ports ports, long vmPollMs, long seed) {
		this.network = ports.network();
		this.scheduler = ports.scheduler();
		this.clock = ports.clock();
		this.plans = CellPartitioner.partition(workers);
		this.random = new Random(LongHashFunction.xx3().hashLong(seed));
		Membership m = new Membership(self, MembershipSettings.DEFAULT, seed, now());
		this.membership = new MembershipLoop(m, this.network, this.scheduler, this.clock);
		ContractStore store = new ContractStore(ports.store(),
				(ms) -> Mono.delay(Duration.ofMillis(ms), this.scheduler));
		this.contracts = new ContractLoop(store, this.network, this.membership::view, this.scheduler, seed);
		this.vmList = new VmListLoop(ports.vmList(), this.network, this.membership::view, this.scheduler, this.clock,
				vmPollMs, seed, this::listed);
		this.cells = CellMap.of(this.plans, Set.of(), this.membership.view());
		this.membership.onView((v) -> place());
		this.network.onSend(ClusterNotice.Loads.class, this::hear);
	}

	/**
	 * Sets who is told of the cells that this VM owns. Called before {@link #start()}.
	 * @param sink told of each change
	 * @param ownLoads gives the loads of the cells that this VM owns
	 */
	public void attach(CellSink sink, Supplier<List<CellLoad>> ownLoads) {
		this.sink = sink;
		this.ownLoads = ownLoads;
	}

	/**
	 * Starts. It does not wait for the others: {@link #isReady()} tells when this VM has
	 * joined and has all contracts.
	 */
	@Override
	public Mono<Void> start() {
		return Mono.fromRunnable(() -> {
			this.membership.start();
			this.contracts.start();
			this.vmList.start();
			this.running
				.add(this.scheduler.schedulePeriodically(this::tellLoads, LOADS_MS, LOADS_MS, TimeUnit.MILLISECONDS));
		});
	}

	/**
	 * Announces the leave. From then on this VM owns nothing and no locate answer names
	 * it.
	 * @return completes when the others have had time to hear it
	 */
	@Override
	public Mono<Void> drain() {
		return Mono.defer(() -> {
			this.draining = true;
			this.membership.leave();
			return Mono.delay(Duration.ofMillis(TELL_MS), this.scheduler).then();
		});
	}

	/**
	 * Announces that this VM is gone, and stops.
	 */
	@Override
	public Mono<Void> close() {
		return Mono.defer(() -> {
			this.membership.left();
			return Mono.delay(Duration.ofMillis(TELL_MS), this.scheduler);
		}).doOnNext((x) -> {
			this.running.dispose();
			this.vmList.stop();
			this.contracts.stop();
			this.membership.stop();
		}).then();
	}

	/**
	 * Returns the membership.
	 * @return the latest view
	 */
	public View view() {
		return this.membership.view();
	}

	/**
	 * Adds a listener that is told of each new view, for instance to share out the
	 * store's rates over the live members. Called before {@link #start()}.
	 * @param listener told on the service's own thread
	 */
	public void onView(Consumer<View> listener) {
		this.membership.onView(listener);
	}

	/**
	 * Returns the contracts.
	 * @return the loop that keeps them
	 */
	public ContractLoop contracts() {
		return this.contracts;
	}

	/**
	 * Returns the cells and their owners.
	 * @return the latest map
	 */
	public CellMap cells() {
		return this.cells;
	}

	/**
	 * Tells whether this VM takes new work: it has joined, has all contracts, and is not
	 * leaving.
	 * @return {@code true} if so
	 */
	public boolean isReady() {
		return !isLeaving() && this.contracts.isReady()
				&& view().live().stream().anyMatch((m) -> m.id().equals(view().self().id()));
	}

	/**
	 * Tells whether this VM is leaving, by its own announcement or a mark on the VM list.
	 * The latter asks the process to drain.
	 * @return {@code true} if so
	 */
	public boolean isLeaving() {
		return this.draining || this.vmList.leaving().contains(view().self().id());
	}

	@Override
	public Location locate(String customer, String className, long now) {
		Contract c = this.contracts.contracts().find(customer).orElse(null);
		if (c == null) {
			return new Location(List.of(), TTL_MS);
		}
		List<String> l = c.findClass(className)
			.map((r) -> this.cells.locate(r.upstream(), customer, c.share(), (cell) -> load(cell, now()), this.random))
			.orElse(List.of());
		// Without the chance part all callers who asked at one moment would come back at
		// one moment.
		return new Location(l, TTL_MS + this.random.nextLong(TTL_SPREAD_MS));
	}

	@Override
	public Owner find(String upstream, String customer, long prefix) {
		double share = this.contracts.contracts().find(customer).map(Contract::share).orElse(1.0);
		long now = now();
		return this.cells.selectCell(upstream, customer, share, prefix, (cell) -> load(cell, now))
			.<Owner>map((p) -> isSelf(p.owner()) ? new Owner.Self(p.cell().name())
					: new Owner.Peer(p.owner().peerAddress()))
			.orElseGet(Owner.Nobody::new);
	}

	private boolean isSelf(Member m) {
		return m.id().equals(view().self().id());
	}

	private void listed(List<VmEntry> entries) {
		this.membership.vmList(entries);
		if (!this.placedLeaving.equals(this.vmList.leaving())) {
			place();
		}
	}

	private void place() {
		Set<String> leaving = this.vmList.leaving();
		CellMap m = CellMap.of(this.plans, leaving, this.membership.view());
		this.cells = m;
		this.placedLeaving = leaving;
		CellSink s = this.sink;
		if (s != null) {
			tell(s, m, leaving);
		}
	}

	private void tell(CellSink s, CellMap m, Set<String> leaving) {
		Set<String> own = new HashSet<>();
		for (CellDefinition c : m.ownCells()) {
			own.add(c.name());
			CellAssignment a = assignment(c, leaving);
			if (!a.equals(this.assigned.put(c.name(), a))) {
				Logger.info("[member] Owns cell {} with {} workers.", c.name(), a.workers().size());
				s.assign(a);
			}
		}
		for (String lost : List.copyOf(this.assigned.keySet())) {
			if (!own.contains(lost)) {
				Logger.info("[member] Gave away cell {}.", lost);
				this.assigned.remove(lost);
				s.revoke(lost);
			}
		}
		for (CellDefinition c : m.remoteCells()) {
			CellAssignment a = assignment(c, Set.of());
			if (!a.equals(this.known.put(c.name(), a))) {
				s.know(a);
			}
		}
	}

	private static CellAssignment assignment(CellDefinition c, Set<String> leaving) {
		return new CellAssignment(c.name(), c.upstream(),
				c.workers().stream().filter((w) -> !leaving.contains(w.id())).toList());
	}

	private void tellLoads() {
		List<CellLoad> own = this.ownLoads.get();
		List<CellLoad> heard;
		synchronized (this.loads) {
			own.forEach((l) -> this.loads.recordIfNewer(l, now()));
			heard = this.loads.latest(LOADS_HEARD, now());
		}
		if (heard.isEmpty()) {
			return;
		}
		View v = view();
		for (int i = 0; i < LOADS_FANOUT && v.live().size() > 1; i++) {
			Member m = v.live().get(this.random.nextInt(v.live().size()));
			if (!isSelf(m)) {
				this.network.send(m.peerAddress(), new ClusterNotice.Loads(heard));
			}
		}
	}

	private void hear(ClusterNotice.Loads m) {
		synchronized (this.loads) {
			m.loads().forEach((l) -> this.loads.recordIfNewer(l, now()));
		}
	}

	private double load(String cell, long now) {
		synchronized (this.loads) {
			return this.loads.load(cell, now);
		}
	}

	private long now() {
		return this.clock.getAsLong();
	}

	/**
	 * What the service works through. Immutable.
	 *
	 * @param network the peer links, not yet started
	 * @param store the key-value service
	 * @param vmList the VM list
	 * @param scheduler runs one task at a time; its owner disposes of it
	 * @param clock gives the present time in milliseconds; it must never fall and must go
	 * on while the process is stopped
	 */
	public record Ports(PeerNetwork network, KvStore store, VmList vmList, Scheduler scheduler, LongSupplier clock) {

		public Ports {
			Objects.requireNonNull(scheduler);
		}

	}

}
