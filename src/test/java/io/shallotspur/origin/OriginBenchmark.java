package io.shallotspur.origin;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

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

import io.shallotspur.gateway.KnownOrigin;
import io.shallotspur.gateway.StreamOrigin;
import io.shallotspur.gateway.StreamOrigins;

/**
 * Measures what each stream that begins costs this VM: remembering it, and selecting the
 * VMs that are told of it.
 */
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@State(Scope.Thread)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class OriginBenchmark {

	private static final int COPIES = 3;

	private static final long TTL_MS = 60_000;

	private static final StreamOrigin ORIGIN = new StreamOrigin("llm", "v1");

	/**
	 * Number of entry VMs.
	 */
	@Param({ "8", "780" })
	public int vms;

	private List<String> addresses = List.of();

	private final StreamOrigins origins = new StreamOrigins();

	private long next;

	@Setup
	public void setUp() {
		this.addresses = IntStream.range(0, this.vms)
			.mapToObj((i) -> "10.1." + i / 250 + "." + i % 250 + ":7674")
			.toList();
	}

	private String request() {
		return Long.toHexString(0x9c41_d07b_e2a3_0000L + this.next++);
	}

	@Benchmark
	public List<String> selectCopies() {
		return ReplicaSelector.select(request(), this.addresses, COPIES);
	}

	@Benchmark
	public int remember() {
		this.origins.add(new KnownOrigin(request(), ORIGIN, TTL_MS), this.next / 1_000);
		return this.origins.size();
	}

}
