package io.shallotspur.cell;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

import io.shallotspur.admission.FairQueue;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.routing.Cell;
import io.shallotspur.routing.CellLayout;
import io.shallotspur.routing.OutputLengthSample;
import io.shallotspur.routing.PrefillWorker;

/**
 * Measures one placement decision: find the cell of a request, take the next request in
 * fair order from a queue that holds a request of every customer, select its prefill and
 * decode workers, and charge its customer.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@State(Scope.Thread)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class PlacementBenchmark {

	private static final int REQUESTS = 1024;

	private static final int PREFIX_COUNT = 40;

	/**
	 * Number of workers in the deployment.
	 */
	@Param({ "8", "100", "6900" })
	public int workers;

	/**
	 * Number of customers with a queued request.
	 */
	@Param({ "2", "1000", "33000" })
	public int customers;

	private CellLayout layout = CellLayout.of(List.of());

	private final Map<String, CellFleet> fleets = new HashMap<>();

	private final List<ModelRequest> requests = new ArrayList<>();

	private final OutputLengthSample lengths = new OutputLengthSample(200);

	private final FairQueue<Job> queue = new FairQueue<>((c) -> 0.01);

	private long sequence;

	/**
	 * Fills the prefix caches and the queue.
	 */
	@Setup
	public void setUp() {
		List<Worker> all = new ArrayList<>();
		for (int i = 0; i < this.workers; i++) {
			WorkerRole role = (i % 2 == 0) ? WorkerRole.PREFILL : WorkerRole.DECODE;
			all.add(new Worker("w" + i, "llm", "hall-" + (i / 2 % 5), role, "", 20, 24_000, 800, 3000, 0.1));
		}
		this.layout = CellLayout.of(all);
		Random random = new Random(1);
		for (Cell c : this.layout.cells()) {
			CellFleet f = new CellFleet(CellSettings.defaults());
			c.workers().forEach(f::add);
			for (PrefillWorker p : f.prefillWorkers()) {
				p.prefixIndex().recordPrompt(sharedPrefix(random.nextInt(PREFIX_COUNT)), 0);
			}
			this.fleets.put(c.id(), f);
		}
		for (int i = 0; i < REQUESTS; i++) {
			this.requests.add(new ModelRequest("r" + i, "c" + i % this.customers, "c", 8500,
					sharedPrefix(random.nextInt(PREFIX_COUNT)), 0, 1, 2000, 53, 0, 15_000, true, i));
		}
		for (int i = 0; i < this.customers; i++) {
			this.queue.add(job(this.requests.get(i % REQUESTS), "c" + i));
		}
	}

	/**
	 * Makes one placement decision.
	 * @return the placement
	 */
	@Benchmark
	public @Nullable Placement decide() {
		ModelRequest r = this.requests.get((int) (this.sequence % REQUESTS));
		Cell cell = this.layout.locate("llm", r.prefixBlocks()[0]).orElseThrow();
		PlacementSelector placer = new PlacementSelector(this.fleets.get(cell.id()), CellSettings.defaults(), 0.3, 0);
		Placement[] chosen = new Placement[1];
		Job next = this.queue.findNext(1, (j) -> {
			chosen[0] = placer.place(j, 2000);
			return true;
		});
		if (next != null) {
			this.queue.dispatch(next, 500);
			this.queue.add(job(r, next.flow()));
		}
		return chosen[0];
	}

	private Job job(ModelRequest r, String flow) {
		return new Job(r, flow, this.lengths, ++this.sequence);
	}

	private static long[] sharedPrefix(int n) {
		long[] blocks = new long[33];
		for (int i = 0; i < blocks.length; i++) {
			blocks[i] = n * 1_000_003L + i * 7919L;
		}
		return blocks;
	}

}
