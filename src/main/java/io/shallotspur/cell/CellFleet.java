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
 * The workers of a cell by role, in the order in which they joined. Not thread-safe.
 */
final class CellFleet {

	private static final int MAX_TRACKED_BLOCKS = 32_768;

	private final CellSettings settings;

	private final SharedBlocks sharedBlocks = new SharedBlocks(MAX_TRACKED_BLOCKS);

	private final Map<String, PrefillWorker> prefillWorkers = new LinkedHashMap<>();

	private final Map<String, DecodeWorker> decodeWorkers = new LinkedHashMap<>();

	private int slotLimit = Integer.MAX_VALUE;

	private long slotLimitUntil;

	CellFleet(CellSettings settings) {
		this.settings = settings;
	}

	// Adds a worker without state. It replaces any worker with the same identifier.
	void add(Worker worker) {
		if (worker.role() == WorkerRole.PREFILL) {
			this.prefillWorkers.put(worker.id(),
					new PrefillWorker(worker, this.settings.initialPrefillMsPerToken(), this.sharedBlocks));
		}
		else if (worker.role() == WorkerRole.DECODE) {
			DecodeWorker d = new DecodeWorker(worker, this.settings.initialStepMs(),
					this.settings.initialStepMsPerRequest());
			d.setSlotLimit(this.slotLimit);
			this.decodeWorkers.put(worker.id(), d);
		}
	}

	// Limits the slots that are used on each decode worker until the given time.
	void limitSlots(int maxSlots, long until) {
		this.slotLimit = maxSlots;
		this.slotLimitUntil = until;
		this.decodeWorkers.values().forEach((d) -> d.setSlotLimit(maxSlots));
	}

	void expireSlotLimit(long now) {
		if (this.slotLimit != Integer.MAX_VALUE && now >= this.slotLimitUntil) {
			limitSlots(Integer.MAX_VALUE, 0);
		}
	}

	void remove(String id) {
		this.prefillWorkers.remove(id);
		this.decodeWorkers.remove(id);
	}

	void drain(String id) {
		PrefillWorker p = this.prefillWorkers.get(id);
		if (p != null) {
			p.drain();
		}
		DecodeWorker d = this.decodeWorkers.get(id);
		if (d != null) {
			d.drain();
		}
	}

	// Records a prompt, to detect blocks that several prompts share.
	void recordPrompt(long[] blocks) {
		this.sharedBlocks.recordPrompt(blocks);
	}

	boolean contains(String id) {
		return this.prefillWorkers.containsKey(id) || this.decodeWorkers.containsKey(id);
	}

	@Nullable PrefillWorker prefillWorker(String id) {
		return this.prefillWorkers.get(id);
	}

	@Nullable DecodeWorker decodeWorker(String id) {
		return this.decodeWorkers.get(id);
	}

	Collection<PrefillWorker> prefillWorkers() {
		return this.prefillWorkers.values();
	}

	Collection<DecodeWorker> decodeWorkers() {
		return this.decodeWorkers.values();
	}

	boolean hasIdlePrefillWorker() {
		for (PrefillWorker p : this.prefillWorkers.values()) {
			if (p.isIdle()) {
				return true;
			}
		}
		return false;
	}

	// Returns the total declared slots of the decode workers that are not draining.
	int declaredSlots() {
		int total = 0;
		for (DecodeWorker d : this.decodeWorkers.values()) {
			total += d.isDraining() ? 0 : d.worker().slots();
		}
		return total;
	}

	// Returns whether each role has a worker that is not draining.
	boolean acceptsWork() {
		return this.prefillWorkers.values().stream().anyMatch((p) -> !p.isDraining())
				&& this.decodeWorkers.values().stream().anyMatch((d) -> !d.isDraining());
	}

}
