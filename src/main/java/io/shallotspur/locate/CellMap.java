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
 * A snapshot of the cells and their owners as seen by one VM. Immutable and thread-safe.
 * Cells whose workers are all draining are omitted.
 */
public final class CellMap {

	/**
	 * A cell is skipped while its load exceeds the mean load by more than this factor.
	 */
	private static final double MAX_RELATIVE_LOAD = 1.25;

	/**
	 * Lower bound of the load limit of a cell, and of the free capacity by which owners
	 * are weighted.
	 */
	private static final double LOAD_FLOOR = 0.05;

	private static final int MAX_ADDRESSES = 3;

	/**
	 * Maximum number of random draws. A large multiple of {@link #MAX_ADDRESSES}, so that
	 * usually every member of a small fleet is drawn.
	 */
	private static final int MAX_DRAWS = 32;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final View view;

	private final Map<String, List<OwnedCell>> cellsByUpstream;

	private CellMap(View view, Map<String, List<OwnedCell>> byUpstream) {
		this.view = view;
		this.cellsByUpstream = byUpstream;
	}

	/**
	 * Assigns each cell to its owner.
	 * @param cells the cells
	 * @param drainingWorkerIds identifiers of workers that accept no new requests
	 * @param view the membership
	 * @return the map
	 */
	public static CellMap of(List<CellDefinition> cells, Set<String> drainingWorkerIds, View view) {
		Map<String, List<OwnedCell>> byUpstream = new HashMap<>();
		for (CellDefinition c : cells) {
			boolean acceptsWork = c.workers().stream().anyMatch((w) -> !drainingWorkerIds.contains(w.id()));
			if (acceptsWork) {
				view.owner(c.name())
					.ifPresent((o) -> byUpstream.computeIfAbsent(c.upstream(), (u) -> new ArrayList<>())
						.add(new OwnedCell(c, o)));
			}
		}
		return new CellMap(view, byUpstream);
	}

	/**
	 * Returns the cells that this VM owns.
	 * @return the cells in order of their names
	 */
	public List<CellDefinition> ownCells() {
		return filterByOwnership(true);
	}

	/**
	 * Returns the cells that other VMs own.
	 * @return the cells in order of their names
	 */
	public List<CellDefinition> remoteCells() {
		return filterByOwnership(false);
	}

	/**
	 * Finds the cell of a worker and its owner.
	 * @param workerId the worker
	 * @return the cell and its owner, or empty if the worker is in no cell of this map
	 */
	public Optional<OwnedCell> findByWorker(String workerId) {
		return this.cellsByUpstream.values()
			.stream()
			.flatMap(List::stream)
			.filter((c) -> c.cell().workers().stream().anyMatch((w) -> w.id().equals(workerId)))
			.findFirst();
	}

	private List<CellDefinition> filterByOwnership(boolean own) {
		return this.cellsByUpstream.values()
			.stream()
			.flatMap(List::stream)
			.filter((c) -> c.owner().id().equals(this.view.self().id()) == own)
			.map(OwnedCell::cell)
			.sorted(Comparator.comparing(CellDefinition::name))
			.toList();
	}

	/**
	 * Selects the cell of a request. Requests with the same prefix go to the same cell,
	 * where the prefix is cached, unless the load of that cell is well above the mean.
	 * @param upstream the upstream
	 * @param customer the customer
	 * @param share the customer's share
	 * @param prefix hash of the first block of the prompt, or 0 if it has none
	 * @param load the load of a cell from 0 to 1, by name; 0 if unknown
	 * @return the cell and its owner, or empty if the upstream has no cell
	 */
	public Optional<OwnedCell> selectCell(String upstream, String customer, double share, long prefix,
			ToDoubleFunction<String> load) {
		List<OwnedCell> ranked = rankByHash(candidateCells(upstream, customer, share), Long.toHexString(prefix));
		double mean = ranked.stream().mapToDouble((c) -> load.applyAsDouble(c.cell().name())).average().orElse(0);
		double maxLoad = Math.max(LOAD_FLOOR, mean * MAX_RELATIVE_LOAD);
		return ranked.stream()
			.filter((c) -> load.applyAsDouble(c.cell().name()) <= maxLoad)
			.findFirst()
			.or(() -> ranked.stream().findFirst());
	}

	/**
	 * Returns the entry VMs that a caller should use. The owners of the customer's cells
	 * come first, in a random order weighted by free capacity, so that callers that ask
	 * at the same time do not all select the same VM. Other VMs, which can forward
	 * requests, follow. Suspected members come last; VMs that are leaving are omitted.
	 * @param upstream the upstream of the caller's class
	 * @param customer the customer
	 * @param share the customer's share
	 * @param load the load of a cell from 0 to 1, by name; 0 if unknown
	 * @param random source of the random order
	 * @return at most three caller addresses
	 */
	public List<String> locate(String upstream, String customer, double share, ToDoubleFunction<String> load,
			Random random) {
		List<OwnedCell> cells = new ArrayList<>(candidateCells(upstream, customer, share));
		Map<OwnedCell, Double> sortKeys = new HashMap<>();
		for (OwnedCell c : cells) {
			double free = Math.max(LOAD_FLOOR, 1 - load.applyAsDouble(c.cell().name()));
			sortKeys.put(c, Math.pow(random.nextDouble(), 1 / free));
		}
		cells.sort(Comparator.comparing((OwnedCell c) -> -sortKeys.get(c)));
		Map<String, Member> candidates = new LinkedHashMap<>();
		cells.forEach((c) -> candidates.putIfAbsent(c.owner().id(), c.owner()));
		addRandomMembers(candidates, random);
		List<Member> members = new ArrayList<>(candidates.values());
		members.sort(Comparator.comparing((m) -> m.status() == MemberStatus.SUSPECT));
		return members.stream().map(Member::callerAddress).limit(MAX_ADDRESSES).toList();
	}

	// Adds random live VMs until enough members are not suspected. The cost must not grow
	// with the size of the fleet, because every VM answers locate calls of all callers.
	private void addRandomMembers(Map<String, Member> candidates, Random random) {
		List<Member> live = this.view.live();
		int healthyCount = (int) candidates.values().stream().filter((m) -> m.status() != MemberStatus.SUSPECT).count();
		for (int i = 0; i < MAX_DRAWS && healthyCount < MAX_ADDRESSES && !live.isEmpty(); i++) {
			Member m = live.get(random.nextInt(live.size()));
			if (candidates.putIfAbsent(m.id(), m) == null && m.status() != MemberStatus.SUSPECT) {
				healthyCount++;
			}
		}
	}

	private List<OwnedCell> candidateCells(String upstream, String customer, double share) {
		List<OwnedCell> all = this.cellsByUpstream.getOrDefault(upstream, List.of());
		// Uses one cell more than the share requires, so that the customer does not
		// depend on a cell that other customers keep busy.
		int count = (int) Math.min(all.size(), Math.ceil(share * all.size()) + 1);
		return rankByHash(all, customer).subList(0, count);
	}

	private static List<OwnedCell> rankByHash(List<OwnedCell> cells, String key) {
		long k = HASH.hashChars(key);
		return cells.stream()
			.sorted(Comparator.comparingLong((OwnedCell c) -> HASH.hashLong(k ^ HASH.hashChars(c.cell().name()))))
			.toList();
	}

	/**
	 * A cell and the entry VM that admits requests to it.
	 *
	 * @param cell the cell
	 * @param owner the entry VM
	 */
	public record OwnedCell(CellDefinition cell, Member owner) {

	}

}
