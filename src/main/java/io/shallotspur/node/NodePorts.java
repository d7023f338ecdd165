package io.shallotspur.node;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;

import reactor.core.publisher.Mono;

import io.shallotspur.exc.EngineRefusedException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.ledger.IntentLedger;
import io.shallotspur.port.Engine;
import io.shallotspur.port.PlainService;
import io.shallotspur.record.PrefillLog;
import io.shallotspur.resume.ResumeTokens;

/**
 * What the services of one entry VM work through. Thread-safe; the workers may change,
 * the rest does not.
 *
 * @param vm the name of the VM
 * @param incarnation rises with each start of the VM
 * @param engine the model engines
 * @param service the plain services
 * @param ledger lets a request run at most once
 * @param resume makes resume tokens
 * @param prefills takes what was prefilled for each request
 * @param clock gives the present time in milliseconds
 * @param workers the workers by id
 */
record NodePorts(String vm, long incarnation, Engine engine, PlainService service, IntentLedger ledger,
		ResumeTokens resume, PrefillLog prefills, LongSupplier clock, Map<String, Worker> workers) {

	NodePorts(String vm, long incarnation, Engine engine, PlainService service, IntentLedger ledger,
			ResumeTokens resume, PrefillLog prefills, LongSupplier clock) {
		this(vm, incarnation, engine, service, ledger, resume, prefills, clock, new ConcurrentHashMap<>());
	}

	/**
	 * Finds a worker.
	 * @param id the worker
	 * @return the worker; fails with {@link EngineRefusedException} if there is none
	 */
	Mono<Worker> worker(String id) {
		Worker w = this.workers.get(id);
		return (w != null) ? Mono.just(w) : Mono.error(new EngineRefusedException("The worker is not known.", id));
	}

}
