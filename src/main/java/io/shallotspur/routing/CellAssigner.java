package io.shallotspur.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * Assigns the workers of one group of halls to cells. Each worker is assigned to the cell
 * with the highest rendezvous score that has capacity left, so adding or removing a
 * worker moves few others. For a single use. Not thread-safe.
 */
final class CellAssigner {

	private final String upstream;

	private final String hall;

	private final List<Worker> workers;

	private final List<List<Worker>> workersByCell = new ArrayList<>();

	private final List<String> cellIds = new ArrayList<>();

	CellAssigner(String upstream, String hall, List<Worker> workers) {
		this.upstream = upstream;
		this.hall = hall;
		this.workers = workers;
	}

	void assign(List<Cell> cells, List<Worker> unassignedWorkers) {
		int prefillCount = CellLayout.count(this.workers, WorkerRole.PREFILL);
		int decodeCount = this.workers.size() - prefillCount;
		int cellCount = Math.min(CellLayout.targetCellCount(this.workers.size()), Math.min(prefillCount, decodeCount));
		for (int i = 0; i < cellCount; i++) {
			this.cellIds.add(this.upstream + "/" + this.hall + "/" + i);
			this.workersByCell.add(new ArrayList<>());
		}
		if (cellCount == 0) {
			unassignedWorkers.addAll(this.workers);
			return;
		}
		assignRole(WorkerRole.PREFILL, (prefillCount + cellCount - 1) / cellCount + 1, unassignedWorkers);
		assignRole(WorkerRole.DECODE, CellLayout.MAX_WORKERS, unassignedWorkers);
		for (int i = 0; i < cellCount; i++) {
			List<Worker> cellWorkers = this.workersByCell.get(i);
			cellWorkers.sort(Comparator.comparing(Worker::id));
			cells.add(new Cell(this.cellIds.get(i), this.upstream, cellWorkers));
		}
	}

	private void assignRole(WorkerRole role, int maxOfRole, List<Worker> unassignedWorkers) {
		// Leaves room for one decode worker, without which the prefill workers are idle.
		int maxWorkers = (role == WorkerRole.PREFILL) ? CellLayout.MAX_WORKERS - 1 : CellLayout.MAX_WORKERS;
		for (Worker worker : this.workers) {
			if (worker.role() == role) {
				int cell = selectCell(worker, role, maxOfRole, maxWorkers);
				if (cell >= 0) {
					this.workersByCell.get(cell).add(worker);
				}
				else {
					unassignedWorkers.add(worker);
				}
			}
		}
		for (int i = 0; i < this.workersByCell.size(); i++) {
			if (CellLayout.count(this.workersByCell.get(i), role) == 0) {
				moveWorkerTo(i, role);
			}
		}
	}

	private int selectCell(Worker worker, WorkerRole role, int maxOfRole, int maxWorkers) {
		int best = -1;
		long bestScore = 0;
		for (int i = 0; i < this.workersByCell.size(); i++) {
			List<Worker> cellWorkers = this.workersByCell.get(i);
			long score = RendezvousHash.score(worker.id(), this.cellIds.get(i));
			boolean hasCapacity = cellWorkers.size() < maxWorkers && CellLayout.count(cellWorkers, role) < maxOfRole;
			if (hasCapacity && (best < 0 || score > bestScore)) {
				best = i;
				bestScore = score;
			}
		}
		return best;
	}

	// Moves a worker from the cell with the most workers of the role.
	private void moveWorkerTo(int targetCell, WorkerRole role) {
		List<Worker> source = this.workersByCell.stream()
			.max(Comparator.comparingInt((cellWorkers) -> CellLayout.count(cellWorkers, role)))
			.orElseThrow();
		Worker worker = source.stream()
			.filter((candidate) -> candidate.role() == role)
			.max(Comparator
				.comparingLong((candidate) -> RendezvousHash.score(candidate.id(), this.cellIds.get(targetCell))))
			.orElseThrow();
		source.remove(worker);
		this.workersByCell.get(targetCell).add(worker);
	}

}
