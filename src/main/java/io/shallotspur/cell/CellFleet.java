package io.shallotspur.cell;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.routing.DecodeWorker;
import io.shallotspur.routing.PrefillWorker;
import io.shallotspur.routing.SharedBlocks;

/**
 * The workers of a cell by role, in the order in which they came. Not thread-safe.
 */
final class CellFleet {

	private static final int MAX_BLOCKS_SEEN = 32_768;

	private final CellSettings settings;

	private final SharedBlocks shared = new SharedBlocks(MAX_BLOCKS_SEEN);

	private final Map<String, PrefillWorker> prefill = new LinkedHashMap<>();

	private final Map<String, DecodeWorker> decode = new LinkedHashMap<>();

	private int slotLimit = Integer.MAX_VALUE;

	private long slotLimitUntil;

	CellFleet(CellSettings settings) {
		this.settings = settings;
	}

	// Adds a worker that came up empty; it replaces what was known under its identifier.
	void add(Worker worker) {
		if (worker.role() == WorkerRole.PREFILL) {
			this.prefill.put(worker.id(),
					new PrefillWorker(worker, this.settings.initialPrefillMsPerToken(), this.shared));
		}
		else if (worker.role() == WorkerRole.DECODE) {
			DecodeWorker d = new DecodeWorker(worker, this.settings.initialStepMs(),
					this.settings.initialStepMsPerRequest());
			d.setSlotLimit(this.slotLimit);
			this.decode.put(worker.id(), d);
		}
	}

	// Limits the slots used of each decode worker until some time.
	void limitSlots(int most, long until) {
		this.slotLimit = most;
		this.slotLimitUntil = until;
		this.decode.values().forEach((d) -> d.setSlotLimit(most));
	}

	void expireLimit(long now) {
		if (this.slotLimit != Integer.MAX_VALUE && now >= this.slotLimitUntil) {
			limitSlots(Integer.MAX_VALUE, 0);
		}
	}

	void remove(String id) {
		this.prefill.remove(id);
		this.decode.remove(id);
	}

	void leave(String id) {
		PrefillWorker p = this.prefill.get(id);
		if (p != null) {
			p.drain();
		}
		DecodeWorker d = this.decode.get(id);
		if (d != null) {
			d.drain();
		}
	}

	// Notes a prompt, to learn which blocks are shared.
	void prompt(long[] blocks) {
		this.shared.recordPrompt(blocks);
	}

	boolean knows(String id) {
		return this.prefill.containsKey(id) || this.decode.containsKey(id);
	}

	@Nullable PrefillWorker prefill(String id) {
		return this.prefill.get(id);
	}

	@Nullable DecodeWorker decode(String id) {
		return this.decode.get(id);
	}

	Collection<PrefillWorker> prefill() {
		return this.prefill.values();
	}

	Collection<DecodeWorker> decode() {
		return this.decode.values();
	}

	boolean anyIdlePrefill() {
		for (PrefillWorker p : this.prefill.values()) {
			if (p.isIdle()) {
				return true;
			}
		}
		return false;
	}

	// Returns the declared slots of the decode workers that take new work.
	int slots() {
		int n = 0;
		for (DecodeWorker d : this.decode.values()) {
			n += d.isDraining() ? 0 : d.worker().slots();
		}
		return n;
	}

	// Returns whether both roles have a worker that takes new work.
	boolean takesWork() {
		return this.prefill.values().stream().anyMatch((p) -> !p.isDraining())
				&& this.decode.values().stream().anyMatch((d) -> !d.isDraining());
	}

}
