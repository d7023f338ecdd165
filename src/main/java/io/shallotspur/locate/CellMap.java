package io.shallotspur.locate;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import net.openhft.hashing.LongHashFunction;

import io.shallotspur.membership.Member;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.membership.View;

/**
 * The cells and their owners as one VM sees them at one moment. Immutable and freely
 * shared. Cells whose workers are all leaving are left out.
 */
public final class CellMap {

	/**
	 * A cell is passed over while its load is above the mean by more than this factor.
	 */
	private static final double LOAD_BOUND = 1.25;

	private static final double LOAD_FLOOR = 0.05;

	private static final int MAX_ADDRESSES = 3;

	/**
	 * Many times the addresses wanted, so that a small fleet is drawn whole as a rule.
	 */
	private static final int DRAWS = 32;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final View view;

	private final Map<String, List<OwnedCell>> byUpstream;

	private CellMap(View view, Map<String, List<OwnedCell>> byUpstream) {
		this.view = view;
		this.byUpstream = byUpstream;
	}

	/**
	 * Places cells.
	 * @param plans the cells
	 * @param leaving ids of workers that take no new work
	 * @param view the membership
	 * @return the map
	 */
	public static CellMap of(List<CellDefinition> plans, Set<String> leaving, View view) {
		Map<String, List<OwnedCell>> m = new HashMap<>();
		for (CellDefinition c : plans) {
			boolean open = c.workers().stream().anyMatch((w) -> !leaving.contains(w.id()));
			if (open) {
				view.owner(c.name())
					.ifPresent(
							(o) -> m.computeIfAbsent(c.upstream(), (u) -> new ArrayList<>()).add(new OwnedCell(c, o)));
			}
		}
		return new CellMap(view, m);
	}

	/**
	 * Returns the cells that this VM owns.
	 * @return the cells in order of their names
	 */
	public List<CellDefinition> ownCells() {
		return cells(true);
	}

	/**
	 * Returns the cells that other VMs own.
	 * @return the cells in order of their names
	 */
	public List<CellDefinition> remoteCells() {
		return cells(false);
	}

	/**
	 * Finds who owns the cell of a worker.
	 * @param workerId the worker
	 * @return the cell and its owner, or empty if the worker is in no open cell
	 */
	public Optional<OwnedCell> findByWorker(String workerId) {
		return this.byUpstream.values()
			.stream()
			.flatMap(List::stream)
			.filter((p) -> p.cell().workers().stream().anyMatch((k) -> k.id().equals(workerId)))
			.findFirst();
	}

	private List<CellDefinition> cells(boolean own) {
		return this.byUpstream.values()
			.stream()
			.flatMap(List::stream)
			.filter((p) -> p.owner().id().equals(this.view.self().id()) == own)
			.map(OwnedCell::cell)
			.sorted(Comparator.comparing(CellDefinition::name))
			.toList();
	}

	/**
	 * Chooses the cell of a request. The same prefix goes to the same cell, where it is
	 * cached, unless that cell is much busier than the others.
	 * @param upstream the upstream
	 * @param customer the customer
	 * @param share the customer's share
	 * @param prefix hash of the first block of the prompt, or 0
	 * @param load the load of a cell from 0 to 1, by name; 0 if not known
	 * @return the cell and its owner, or empty if the upstream has no open cell
	 */
	public Optional<OwnedCell> selectCell(String upstream, String customer, double share, long prefix,
			ToDoubleFunction<String> load) {
		List<OwnedCell> l = ranked(customerCells(upstream, customer, share), Long.toHexString(prefix));
		double mean = l.stream().mapToDouble((p) -> load.applyAsDouble(p.cell().name())).average().orElse(0);
		double bound = Math.max(LOAD_FLOOR, mean * LOAD_BOUND);
		return l.stream()
			.filter((p) -> load.applyAsDouble(p.cell().name()) <= bound)
			.findFirst()
			.or(() -> l.stream().findFirst());
	}

	/**
	 * Lists the entry VMs that a caller should use. The owners of the customer's cells
	 * come first, in a random order that favours those with less load, so that callers
	 * who ask at the same moment do not all take the same one; then others that can
	 * forward. Suspects come last, and VMs that are leaving not at all.
	 * @param upstream the upstream of the caller's class
	 * @param customer the customer
	 * @param share the customer's share
	 * @param load the load of a cell from 0 to 1, by name; 0 if not known
	 * @param random decides the order
	 * @return at most three caller addresses
	 */
	public List<String> locate(String upstream, String customer, double share, ToDoubleFunction<String> load,
			Random random) {
		List<OwnedCell> cells = new ArrayList<>(customerCells(upstream, customer, share));
		Map<OwnedCell, Double> keys = new HashMap<>();
		for (OwnedCell p : cells) {
			double free = Math.max(LOAD_FLOOR, 1 - load.applyAsDouble(p.cell().name()));
			keys.put(p, Math.pow(random.nextDouble(), 1 / free));
		}
		cells.sort(Comparator.comparing((OwnedCell p) -> -keys.get(p)));
		Map<String, Member> found = new LinkedHashMap<>();
		cells.forEach((p) -> found.putIfAbsent(p.owner().id(), p.owner()));
		addOthers(found, random);
		List<Member> l = new ArrayList<>(found.values());
		l.sort(Comparator.comparing((m) -> m.status() == MemberStatus.SUSPECT));
		return l.stream().map(Member::callerAddress).limit(MAX_ADDRESSES).toList();
	}

	// Draws from the live VMs until there are enough that are not suspected. The cost
	// must not grow with the fleet: every VM answers every caller.
	private void addOthers(Map<String, Member> found, Random random) {
		List<Member> live = this.view.live();
		int good = (int) found.values().stream().filter((m) -> m.status() != MemberStatus.SUSPECT).count();
		for (int i = 0; i < DRAWS && good < MAX_ADDRESSES && !live.isEmpty(); i++) {
			Member m = live.get(random.nextInt(live.size()));
			if (found.putIfAbsent(m.id(), m) == null && m.status() != MemberStatus.SUSPECT) {
				good++;
			}
		}
	}

	private List<OwnedCell> customerCells(String upstream, String customer, double share) {
		List<OwnedCell> all = this.byUpstream.getOrDefault(upstream, List.of());
		// One cell more than the share needs, so that the customer is not tied to
		// one that is busy with others.
		int count = (int) Math.min(all.size(), Math.ceil(share * all.size()) + 1);
		return ranked(all, customer).subList(0, count);
	}

	private static List<OwnedCell> ranked(List<OwnedCell> cells, String key) {
		long k = HASH.hashChars(key);
		return cells.stream()
			.sorted(Comparator.comparingLong((OwnedCell p) -> HASH.hashLong(k ^ HASH.hashChars(p.cell().name()))))
			.toList();
	}

	/**
	 * A cell and the entry VM that admits to it.
	 *
	 * @param cell the cell
	 * @param owner the entry VM
	 */
	public record OwnedCell(CellDefinition cell, Member owner) {

	}

}
