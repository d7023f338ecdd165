package io.shallotspur.node;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

import org.tinylog.Logger;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;
import io.shallotspur.locate.CellLoad;
import io.shallotspur.resume.StreamId;

/**
 * The cells that this entry VM owns or has owned. Thread-safe.
 * <p>
 * A cell that was given away takes no new requests, but those in progress finish here: a
 * change of owner cuts nobody's answer.
 */
public final class CellHost {

	private static final int NUMBER_BITS = 40;

	private final NodePorts ports;

	private final SchedulerFactory schedulers;

	private final Function<String, Scheduler> threads;

	private final Map<String, ModelService> models = new ConcurrentHashMap<>();

	private final Map<String, PlainCallService> plains = new ConcurrentHashMap<>();

	private final Map<String, CellAssignment> owned = new ConcurrentHashMap<>();

	private volatile ContractSet contracts = ContractSet.empty();

	private long lastCell;

	CellHost(NodePorts ports, SchedulerFactory schedulers, Function<String, Scheduler> threads) {
		this.ports = ports;
		this.schedulers = schedulers;
		this.threads = threads;
	}

	/**
	 * Takes a cell over, or changes its workers.
	 * @param a the cell
	 */
	public synchronized void assign(CellAssignment a) {
		CellAssignment old = this.owned.put(a.cell(), a);
		if (a.equals(old)) {
			return;
		}
		Logger.info("[node] Cell {} has {} workers.", a.cell(), a.workers().size());
		know(a);
		if (a.plain()) {
			this.plains.computeIfAbsent(a.cell(), this::newPlain).setWorkers(a.workers());
		}
		else {
			ModelService m = this.models.computeIfAbsent(a.cell(), this::newModel);
			if (old == null) {
				m.takeOver();
			}
			m.setWorkers(a.workers());
		}
	}

	/**
	 * Gives a cell away. Requests in progress finish here.
	 * @param cell the cell
	 */
	public synchronized void revoke(String cell) {
		if (this.owned.remove(cell) != null) {
			Logger.info("[node] Cell {} is given away.", cell);
		}
	}

	/**
	 * Makes workers known without owning them, so that streams on them can be resumed.
	 * @param a a cell of another entry VM
	 */
	public void know(CellAssignment a) {
		a.workers().forEach((w) -> this.ports.workers().put(w.id(), w));
	}

	/**
	 * Marks a worker as leaving: it gets no new work.
	 * @param workerId the worker
	 */
	public void leaving(String workerId) {
		this.models.values().forEach((m) -> m.leaving(workerId));
		this.plains.values().forEach((p) -> p.leaving(workerId));
	}

	/**
	 * Returns the cells that are owned now.
	 * @return the cells
	 */
	public List<CellAssignment> owned() {
		return List.copyOf(this.owned.values());
	}

	/**
	 * Returns how busy the owned cells are: open requests against the requests that their
	 * workers hold at a time.
	 * @return one load for each owned cell, measured now
	 */
	public List<CellLoad> loads() {
		return owned().stream().map((a) -> new CellLoad(a.cell(), load(a), 0)).toList();
	}

	private double load(CellAssignment a) {
		int open = a.plain() ? plain(a.cell()).map(PlainCallService::openRequests).orElse(0)
				: model(a.cell()).map(ModelService::openRequests).orElse(0);
		int room = a.workers().stream().mapToInt(Worker::slots).sum();
		return Math.min(1, (double) open / Math.max(1, room));
	}

	Optional<ModelService> model(String cell) {
		return Optional.ofNullable(this.models.get(cell)).filter((m) -> this.owned.containsKey(cell));
	}

	Optional<PlainCallService> plain(String cell) {
		return Optional.ofNullable(this.plains.get(cell)).filter((p) -> this.owned.containsKey(cell));
	}

	void setContracts(ContractSet contracts) {
		this.contracts = contracts;
		this.models.values().forEach((m) -> m.setContracts(contracts));
		this.plains.values().forEach((p) -> p.setContracts(contracts));
	}

	boolean runs(StreamId id) {
		return this.models.values().stream().anyMatch((m) -> m.runs(id.sequence()));
	}

	int openRequests() {
		int n = this.models.values().stream().mapToInt(ModelService::openRequests).sum();
		return n + this.plains.values().stream().mapToInt(PlainCallService::openRequests).sum();
	}

	void close() {
		this.models.values().forEach(ModelService::close);
		this.plains.values().forEach(PlainCallService::close);
	}

	private ModelService newModel(String cell) {
		this.lastCell++;
		return new ModelService(cell, this.ports, this.schedulers.cell(cell, this.contracts), this.threads.apply(cell),
				this.lastCell << NUMBER_BITS);
	}

	private PlainCallService newPlain(String cell) {
		return new PlainCallService(cell, this.ports, this.schedulers.plain(cell, this.contracts),
				this.threads.apply(cell));
	}

}
