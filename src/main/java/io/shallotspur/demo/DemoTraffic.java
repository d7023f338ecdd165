package io.shallotspur.demo;

import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntSupplier;

import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The traffic of both deployments' callers and what they see of it. Not thread-safe; one
 * instance runs once.
 */
final class DemoTraffic {

	private static final Duration SETTLE = Duration.ofSeconds(20);

	private static final Duration POLL = Duration.ofMillis(50);

	private static final Duration LONGEST = Duration.ofSeconds(90);

	private final DemoTarget target;

	private final DemoCaller caller;

	private final Map<DemoClass, DemoStats> stats = new LinkedHashMap<>();

	private final AtomicInteger done = new AtomicInteger();

	DemoTraffic(DemoTarget target) {
		this.target = target;
		this.caller = new DemoCaller(target);
		DemoContracts.traffic().forEach((c) -> this.stats.put(c, new DemoStats()));
	}

	void close() {
		this.caller.close();
	}

	/**
	 * Waits until a request of each class is served.
	 */
	void awaitWorkers() {
		for (DemoClass c : this.stats.keySet()) {
			DemoStats s = new DemoStats();
			Mono.defer(() -> this.caller.send(c, -1, new Random(0), s))
				.then(Mono.delay(POLL))
				.repeat(() -> s.row(c).met() == 0)
				.blockLast(SETTLE);
		}
	}

	/**
	 * Sends the traffic and waits for the last answer.
	 * @param seconds how long requests are sent
	 * @param seed draws what the callers do
	 * @param err takes the progress
	 */
	void run(int seconds, long seed, PrintStream err) {
		Duration length = Duration.ofSeconds(seconds);
		List<Mono<Void>> sources = this.stats.entrySet()
			.stream()
			.map((e) -> source(e.getKey(), e.getValue(), length, seed))
			.toList();
		Disposable progress = Flux.interval(Duration.ofSeconds(1))
			.subscribe((i) -> err.printf("%2d s: %d requests ended%n", i + 1, this.done.get()));
		try {
			Mono.when(sources).block(length.plus(LONGEST));
		}
		finally {
			progress.dispose();
		}
	}

	/**
	 * Waits until nothing is held any more, and sums up.
	 * @param seconds how long requests were sent
	 * @param open gives the requests that entry VMs still count
	 * @return the result
	 */
	DemoReport report(int seconds, IntSupplier open) {
		long end = System.nanoTime() + SETTLE.toNanos();
		while ((this.target.heldAtEngines() > 0 || open.getAsInt() > 0) && System.nanoTime() < end) {
			Mono.delay(POLL).block();
		}
		Map<String, Integer> runs = this.target.runs();
		this.stats.values().forEach((s) -> s.settle(runs));
		List<DemoRow> rows = this.stats.entrySet().stream().map((e) -> e.getValue().row(e.getKey())).toList();
		return new DemoReport(seconds, rows, this.target.heldAtEngines(), open.getAsInt());
	}

	private Mono<Void> source(DemoClass c, DemoStats s, Duration length, long seed) {
		Random random = new Random(seed + c.hashCode());
		int n = (int) Math.round(c.perSecond() * length.toSeconds());
		return Flux.range(0, n)
			.flatMap((i) -> Mono.delay(length.multipliedBy(i).dividedBy(Math.max(1, n)))
				.then(Mono.defer(() -> this.caller.send(c, i, random, s)))
				.doFinally((x) -> this.done.incrementAndGet()), Math.max(1, n))
			.then();
	}

}
