package io.shallotspur.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * Divides the workers of one group of halls into cells: each worker goes to the cell with
 * the highest rendezvous score that has room, so a worker that comes or goes moves few
 * others. Used once. Not thread-safe.
 */
final class CellFill {

	private final String upstream;

	private final String hall;

	private final List<Worker> workers;

	private final List<List<Worker>> filled = new ArrayList<>();

	private final List<String> ids = new ArrayList<>();

	CellFill(String upstream, String hall, List<Worker> workers) {
		this.upstream = upstream;
		this.hall = hall;
		this.workers = workers;
	}

	void fill(List<Cell> cells, List<Worker> spare) {
		int prefill = CellLayout.count(this.workers, WorkerRole.PREFILL);
		int decode = this.workers.size() - prefill;
		int n = Math.min(CellLayout.cellsFor(this.workers.size()), Math.min(prefill, decode));
		for (int i = 0; i < n; i++) {
			this.ids.add(this.upstream + "/" + this.hall + "/" + i);
			this.filled.add(new ArrayList<>());
		}
		if (n == 0) {
			spare.addAll(this.workers);
			return;
		}
		place(WorkerRole.PREFILL, (prefill + n - 1) / n + 1, spare);
		place(WorkerRole.DECODE, CellLayout.MAX_WORKERS, spare);
		for (int i = 0; i < n; i++) {
			List<Worker> l = this.filled.get(i);
			l.sort(Comparator.comparing(Worker::id));
			cells.add(new Cell(this.ids.get(i), this.upstream, l));
		}
	}

	private void place(WorkerRole role, int mostOfRole, List<Worker> spare) {
		// One place is kept free for a decode worker, without which the others are idle.
		int most = (role == WorkerRole.PREFILL) ? CellLayout.MAX_WORKERS - 1 : CellLayout.MAX_WORKERS;
		for (Worker w : this.workers) {
			if (w.role() == role) {
				int i = choose(w, role, mostOfRole, most);
				if (i >= 0) {
					this.filled.get(i).add(w);
				}
				else {
					spare.add(w);
				}
			}
		}
		for (int i = 0; i < this.filled.size(); i++) {
			if (CellLayout.count(this.filled.get(i), role) == 0) {
				lend(i, role);
			}
		}
	}

	private int choose(Worker w, WorkerRole role, int mostOfRole, int most) {
		int best = -1;
		long bestScore = 0;
		for (int i = 0; i < this.filled.size(); i++) {
			List<Worker> l = this.filled.get(i);
			long s = RendezvousHash.score(w.id(), this.ids.get(i));
			boolean room = l.size() < most && CellLayout.count(l, role) < mostOfRole;
			if (room && (best < 0 || s > bestScore)) {
				best = i;
				bestScore = s;
			}
		}
		return best;
	}

	private void lend(int to, WorkerRole role) {
		List<Worker> lender = this.filled.stream()
			.max(Comparator.comparingInt((l) -> CellLayout.count(l, role)))
			.orElseThrow();
		Worker w = lender.stream()
			.filter((x) -> x.role() == role)
			.max(Comparator.comparingLong((x) -> RendezvousHash.score(x.id(), this.ids.get(to))))
			.orElseThrow();
		lender.remove(w);
		this.filled.get(to).add(w);
	}

}
