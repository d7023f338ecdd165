package io.shallotspur.node.cluster;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import net.openhft.hashing.LongHashFunction;
import org.tinylog.Logger;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.membership.Member;
import io.shallotspur.membership.View;
import io.shallotspur.port.PeerNetwork;
import io.shallotspur.port.VmEntry;
import io.shallotspur.port.VmList;

/**
 * Reads the VM list. Thread-safe; all state is touched by one scheduler thread only.
 * <p>
 * A few VMs read it every second and pass on what is newly marked as leaving; the others
 * read it the less often the more VMs there are, so that the calls a second stay bounded
 * while a mark is known everywhere within a second or two. A list that cannot be read
 * leaves everything as it was.
 */
public final class VmListLoop {

	private static final int READERS = 8;

	private static final String ROLE = "vm-list";

	private static final long PER_MEMBER_MS = 20;

	private static final int FANOUT = 4;

	private static final long KEEP_MARK_MS = 60_000;

	private final VmList list;

	private final PeerNetwork network;

	private final Supplier<View> view;

	private final Scheduler scheduler;

	private final LongSupplier clock;

	private final long pollMs;

	private final Random random;

	private final Consumer<List<VmEntry>> out;

	private final Map<String, Long> heardMarks = new HashMap<>();

	private final Disposable.Composite running = Disposables.composite();

	private List<VmEntry> entries = List.of();

	private volatile Set<String> leaving = Set.of();

	private long nextAt;

	private long callCount;

	// The number of the call whose answer was applied last.
	private long appliedCall;

	/**
	 * Creates a loop that does not run yet, and sets the handler of its message.
	 * @param list the list
	 * @param network the peer links
	 * @param view gives the latest view of the membership
	 * @param scheduler runs one task at a time
	 * @param clock gives the present time in milliseconds
	 * @param pollMs how often the readers read, in milliseconds
	 * @param seed for the choice of peers
	 * @param out told the entries after each reading and each mark heard
	 */
	public VmListLoop(VmList list, PeerNetwork network, Supplier<View> view, Scheduler scheduler, LongSupplier clock,
			long pollMs, long seed, Consumer<List<VmEntry>> out) {
		this.list = list;
		this.network = network;
		this.view = view;
		this.scheduler = scheduler;
		this.clock = clock;
		this.pollMs = pollMs;
		this.random = new Random(LongHashFunction.xx3().hashLong(seed));
		this.out = out;
		network.onSend(ClusterNotice.Marks.class, (m) -> scheduler.schedule(() -> hear(m)));
	}

	/**
	 * Starts to read.
	 */
	public void start() {
		this.running.add(this.scheduler.schedulePeriodically(this::tick, 0, this.pollMs, TimeUnit.MILLISECONDS));
	}

	/**
	 * Stops.
	 */
	public void stop() {
		this.running.dispose();
	}

	/**
	 * Returns the VMs that are marked as leaving.
	 * @return their names, workers among them
	 */
	public Set<String> leaving() {
		return this.leaving;
	}

	private void tick() {
		long now = this.clock.getAsLong();
		View v = this.view.get();
		boolean reader = v.live().size() <= READERS
				|| v.owners(ROLE, READERS).stream().map(Member::id).anyMatch(v.self().id()::equals);
		if (!reader && now < this.nextAt) {
			return;
		}
		this.nextAt = now + v.live().size() * PER_MEMBER_MS;
		long n = ++this.callCount;
		this.list.list()
			.publishOn(this.scheduler)
			.subscribe((l) -> read(l, n), (ex) -> Logger.debug("[member] No VM list: {}.", ex.getMessage()));
	}

	// An answer that arrives after a later call's may show an older state.
	private void read(List<VmEntry> l, long n) {
		if (n < this.appliedCall) {
			return;
		}
		this.appliedCall = n;
		this.entries = List.copyOf(l);
		Set<String> marked = new HashSet<>();
		l.stream().filter(VmEntry::leaving).forEach((e) -> marked.add(e.id()));
		List<String> news = marked.stream().filter((id) -> !this.leaving.contains(id)).sorted().toList();
		l.stream().filter((e) -> !e.leaving()).forEach((e) -> this.heardMarks.remove(e.id()));
		update(marked, news);
	}

	private void hear(ClusterNotice.Marks m) {
		long now = this.clock.getAsLong();
		List<String> news = m.ids().stream().filter((id) -> !this.leaving.contains(id)).toList();
		news.forEach((id) -> this.heardMarks.put(id, now));
		if (!news.isEmpty()) {
			update(new HashSet<>(this.leaving), news);
		}
	}

	private void update(Set<String> marked, List<String> news) {
		long now = this.clock.getAsLong();
		this.heardMarks.values().removeIf((at) -> now - at > KEEP_MARK_MS);
		marked.addAll(this.heardMarks.keySet());
		this.leaving = Set.copyOf(marked);
		if (!news.isEmpty()) {
			Logger.info("[member] Marked as leaving: {}.", news);
			pick().forEach((m) -> this.network.send(m.peerAddress(), new ClusterNotice.Marks(news)));
		}
		this.out.accept(this.entries.stream().map(this::marked).toList());
	}

	private VmEntry marked(VmEntry e) {
		boolean goes = this.leaving.contains(e.id());
		return new VmEntry(e.id(), e.hall(), e.peerAddress(), e.callerAddress(), goes);
	}

	private List<Member> pick() {
		View v = this.view.get();
		List<Member> l = new ArrayList<>(v.live());
		l.addAll(v.leaving());
		l.removeIf((m) -> m.id().equals(v.self().id()));
		Collections.shuffle(l, this.random);
		return l.subList(0, Math.min(FANOUT, l.size()));
	}

}
