package io.shallotspur.replay;

import java.util.LinkedHashMap;
import java.util.Map;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.replay.fake.DecodeEngine;
import io.shallotspur.replay.fake.EventQueue;
import io.shallotspur.replay.fake.PrefillEngine;

/**
 * The fake engines of one model upstream. Not thread-safe.
 */
final class ModelEngines {

	private final Map<String, PrefillEngine> prefills = new LinkedHashMap<>();

	private final Map<String, DecodeEngine> decodes = new LinkedHashMap<>();

	void add(EventQueue queue, Fleet.WorkerSpec w, PrefillEngine.Listener prefill, DecodeEngine.Listener decode) {
		Worker worker = w.worker();
		if (worker.role() == WorkerRole.PREFILL) {
			this.prefills.put(worker.id(),
					new PrefillEngine(queue, w.prefillMsPerToken(), worker.cacheTokens(), worker.kvTtlMs(), prefill));
		}
		else {
			this.decodes.put(worker.id(), new DecodeEngine(queue, worker.slots(), w.stepBaseMs(), w.stepMsPerRequest(),
					worker.linkMbPerS(), decode));
		}
	}

	boolean has(String worker) {
		return isPrefill(worker) || this.decodes.containsKey(worker);
	}

	boolean isPrefill(String worker) {
		return this.prefills.containsKey(worker);
	}

	PrefillEngine prefill(String worker) {
		PrefillEngine e = this.prefills.get(worker);
		if (e == null) {
			throw new IllegalArgumentException("The scheduler takes " + worker + " for a prefill worker");
		}
		return e;
	}

	DecodeEngine decode(String worker) {
		DecodeEngine e = this.decodes.get(worker);
		if (e == null) {
			throw new IllegalArgumentException("The scheduler takes " + worker + " for a decode worker");
		}
		return e;
	}

	boolean isUp(String worker) {
		return isPrefill(worker) ? prefill(worker).isUp() : decode(worker).isUp();
	}

	void crash(String worker) {
		if (isPrefill(worker)) {
			prefill(worker).crash();
		}
		else {
			decode(worker).crash();
		}
	}

	void restart(String worker) {
		if (isPrefill(worker)) {
			prefill(worker).restart();
		}
		else {
			decode(worker).restart();
		}
	}

	/**
	 * Returns the load of a worker.
	 * @param worker the worker
	 * @return the requests it holds, or {@link EngineReports#DOWN}
	 */
	int load(String worker) {
		if (!isUp(worker)) {
			return EngineReports.DOWN;
		}
		return isPrefill(worker) ? prefill(worker).active() : decode(worker).active();
	}

	boolean holds(long attempt) {
		return this.prefills.values().stream().anyMatch((e) -> e.holds(attempt))
				|| this.decodes.values().stream().anyMatch((e) -> e.holds(attempt));
	}

}
