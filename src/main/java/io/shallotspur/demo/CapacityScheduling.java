package io.shallotspur.demo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import io.shallotspur.cell.CellAction;
import io.shallotspur.cell.CellEvent;
import io.shallotspur.cell.CellSettings;
import io.shallotspur.cell.ModelRequest;
import io.shallotspur.cell.StdCellScheduler;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.plain.PlainAction;
import io.shallotspur.plain.PlainEvent;
import io.shallotspur.plain.PlainRequest;
import io.shallotspur.plain.PlainSettings;
import io.shallotspur.plain.StdPlainScheduler;

/**
 * Measures both schedulers under steady load in virtual time, with workers that never
 * fail. Not thread-safe.
 */
final class CapacityScheduling {

	private static final int[] CUSTOMERS = { 2, 1000, 33_000 };

	private static final int[] WORKERS = { 9, 16 };

	private static final int[] TOKEN_EVENTS = { 1, 25, 100 };

	private static final int REQUESTS = 4000;

	private static final int PROMPT = 500;

	private static final int PREFILL_MS = 100;

	private static final int TRANSFER_MS = 10;

	private static final int DECODE_MS = 1500;

	private static final int SLOTS = 32;

	private static final long TBT_MS = 1000;

	private static final int[] IN_FLIGHT = { 50, 200, 800 };

	private static final int CALL_MS = 20;

	private static final long DEADLINE_MS = 60_000;

	private final CapacityTable table;

	private final long seed;

	private int refused;

	CapacityScheduling(CapacityTable table, long seed) {
		this.table = table;
		this.seed = seed;
	}

	/**
	 * Measures and prints.
	 */
	void measure() {
		this.table.section("Cell owner and plain calls: all events of one request");
		cell(WORKERS[0], 2, TOKEN_EVENTS[1]);
		cell(WORKERS[1], CUSTOMERS[1], TOKEN_EVENTS[1]);
		plain(WORKERS[0], 2);
		plain(WORKERS[1], CUSTOMERS[1]);
		for (int w : WORKERS) {
			this.table.row("StdCellScheduler, " + w + " workers", "us/request", "customers", CUSTOMERS,
					(c) -> cell(w, c, 1));
			this.table.row("StdCellScheduler, " + w + " workers, 2 customers", "us/request", "token events",
					TOKEN_EVENTS, (n) -> cell(w, 2, n));
			this.table.row("StdPlainScheduler, " + w + " workers", "us/request", "customers", CUSTOMERS,
					(c) -> plain(w, c));
		}
		this.table.row("StdCellScheduler, 16 workers, 25 token events", "us/request", "requests in flight", IN_FLIGHT,
				this::inFlight);
		this.table.note("refused in all runs", Integer.toString(this.refused));
	}

	private double cell(int workers, int customers, int tokens) {
		return cell(workers, customers, tokens, DECODE_MS, SLOTS);
	}

	// With many slots and a slow target, the requests in flight grow with the time of
	// decoding alone.
	private double inFlight(int count) {
		long gap = gapMs(WORKERS[1]);
		return cell(WORKERS[1], 2, TOKEN_EVENTS[1], (int) (count * gap), count);
	}

	private static long gapMs(int workers) {
		// Two thirds of what the prefill workers can do.
		return PREFILL_MS * 3 / 2 / (workers / 3);
	}

	private double cell(int workers, int customers, int tokens, int decodeMs, int slots) {
		StdCellScheduler s = new StdCellScheduler(CellSettings.defaults(), contracts(customers), this.seed);
		PriorityQueue<Due<CellEvent>> due = new PriorityQueue<>(Comparator.comparingLong(Due::at));
		for (Worker w : cellWorkers(workers, slots)) {
			due.add(new Due<>(0, new CellEvent.WorkerUp(w)));
		}
		int n = this.table.scaled(REQUESTS);
		long gap = gapMs(workers);
		for (int i = 0; i < n; i++) {
			long at = 1 + i * gap;
			due.add(new Due<>(at, new CellEvent.Submit(new ModelRequest("r" + i, "c" + i % customers, "chat", PROMPT,
					new long[] { i, i + 1L }, tokens, 0, 2000, TBT_MS, at, at + DEADLINE_MS, true, i))));
		}
		List<CellAction> actions = new ArrayList<>();
		long t = CapacityTable.cpuNanos();
		while (!due.isEmpty()) {
			long now = due.peek().at();
			s.handle(due.remove().event(), now, actions::add);
			actions.forEach((a) -> answer(a, now, tokens, decodeMs, due));
			actions.clear();
			wake(due, s, now);
		}
		return (CapacityTable.cpuNanos() - t) / 1000.0 / n;
	}

	private static void wake(PriorityQueue<Due<CellEvent>> due, StdCellScheduler s, long now) {
		long next = Math.max(now + 1, s.nextWake(now));
		if (!due.isEmpty() && next < due.peek().at()) {
			due.add(new Due<>(next, new CellEvent.Tick()));
		}
	}

	private void answer(CellAction a, long now, int tokens, int decodeMs, PriorityQueue<Due<CellEvent>> due) {
		if (a instanceof CellAction.StartPrefill p) {
			due.add(new Due<>(now + PREFILL_MS, new CellEvent.PrefillDone(p.attempt(), PROMPT)));
		}
		else if (a instanceof CellAction.StartTransfer x) {
			due.add(new Due<>(now + TRANSFER_MS, new CellEvent.TransferDone(x.attempt())));
		}
		else if (a instanceof CellAction.StartDecode d) {
			for (int i = 0; i < tokens; i++) {
				due.add(new Due<>(now + (i + 1L) * decodeMs / (tokens + 1), new CellEvent.Tokens(d.attempt(), 1)));
			}
			due.add(new Due<>(now + decodeMs, new CellEvent.DecodeDone(d.attempt())));
		}
		else if (a instanceof CellAction.Refuse) {
			this.refused++;
		}
	}

	private double plain(int workers, int customers) {
		StdPlainScheduler s = new StdPlainScheduler(PlainSettings.defaults(), contracts(customers), this.seed);
		for (int i = 0; i < workers; i++) {
			s.handle(new PlainEvent.WorkerUp(worker("w" + i, WorkerRole.PLAIN, 8)), 0, (a) -> {
			});
		}
		int n = this.table.scaled(REQUESTS * 10);
		int perMs = workers / 4;
		Map<Long, List<Long>> ends = new HashMap<>();
		List<PlainAction> actions = new ArrayList<>();
		long cpu = CapacityTable.cpuNanos();
		for (long now = 1; now <= n / perMs; now++) {
			List<Long> done = ends.remove(now);
			for (long attempt : (done != null) ? done : List.<Long>of()) {
				s.handle(new PlainEvent.CallCompleted(attempt), now, actions::add);
			}
			for (int i = 0; i < perMs; i++) {
				long k = now * perMs + i;
				s.handle(new PlainEvent.Submit(new PlainRequest("r" + k, "c" + k % customers, "keys", 0, now, now + 300,
						now + DEADLINE_MS, true)), now, actions::add);
			}
			for (PlainAction a : actions) {
				if (a instanceof PlainAction.StartCall c) {
					ends.computeIfAbsent(now + CALL_MS, (x) -> new ArrayList<>()).add(c.attempt());
				}
				else if (a instanceof PlainAction.Refuse) {
					this.refused++;
				}
			}
			actions.clear();
		}
		return (CapacityTable.cpuNanos() - cpu) / 1000.0 / n;
	}

	private static List<Worker> cellWorkers(int count, int slots) {
		List<Worker> l = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			boolean prefill = i % 3 == 0;
			l.add(worker("w" + i, prefill ? WorkerRole.PREFILL : WorkerRole.DECODE, prefill ? 1 : slots));
		}
		return l;
	}

	private static Worker worker(String id, WorkerRole role, int slots) {
		return new Worker(id, "u", "h", role, "127.0.0.1:1", slots, 200_000, 10_000, 10_000, 0.1);
	}

	private static ContractSet contracts(int customers) {
		List<Contract> l = new ArrayList<>();
		for (int i = 0; i < customers; i++) {
			l.add(new Contract("c" + i, 1, 1.0 / customers, List.of(), List.of(), false));
		}
		return ContractSet.of(l);
	}

	private record Due<E>(long at, E event) {

	}

}
