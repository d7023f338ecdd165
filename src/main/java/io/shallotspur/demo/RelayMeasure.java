package io.shallotspur.demo;

import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

import io.shallotspur.exc.SettingsException;

/**
 * Measures the relay: event streams in from an engine, event streams out to callers, over
 * real sockets of this machine, through an entry VM that has one thread for both. The
 * same streams without the entry VM between show the latency that is not the relay's. Not
 * thread-safe; one instance runs once.
 */
public final class RelayMeasure {

	private static final Duration WARM_UP = Duration.ofSeconds(10);

	private static final Duration START_UP = Duration.ofSeconds(60);

	private static final Duration POLL = Duration.ofMillis(100);

	private static final int CLIENT_THREADS = 4;

	private static final Duration START_PAUSE = Duration.ofMillis(2);

	private static final double NANOS = 1e9;

	private static final String LINE = "%-8s %8s %7s %10s %12s %11s %13s %9s %9s%n";

	private final LoopResources clientLoops = LoopResources.create("client", CLIENT_THREADS, true);

	/**
	 * Runs the measurement.
	 * @param options what was asked for
	 * @param out takes the table
	 * @param err takes the progress
	 * @return 0
	 * @throws SettingsException if the entry VM cannot be made
	 */
	public int run(RelayOptions options, PrintStream out, PrintStream err) throws SettingsException {
		RelaySource source = new RelaySource(options.getIntervalMs(), options.getBurst());
		try {
			out.printf(LINE, "path", "streams", "burst", "offered/s", "tokens/s", "cores", "tokens/core/s", "p50 ms",
					"p99 ms");
			err.println("Without the entry VM ...");
			print(options, "direct", measure(options, direct(source.address())), out);
			err.println("Through the entry VM ...");
			RelayVm vm = new RelayVm(source.address());
			print(options, "relay", measure(options, through(vm.callerAddress())), out);
			vm.close();
			return 0;
		}
		finally {
			source.close();
			this.clientLoops.dispose();
		}
	}

	private Result measure(RelayOptions options, Function<AtomicInteger, Flux<ByteBuf>> stream) {
		RelaySink sink = new RelaySink();
		AtomicInteger running = new AtomicInteger();
		Disposable all = Flux.range(0, options.getStreams())
			.delayElements(START_PAUSE)
			.flatMap((i) -> stream.apply(running).doOnNext(sink::take).then(), options.getStreams())
			.subscribe();
		long end = System.nanoTime() + START_UP.toNanos();
		while (running.get() < options.getStreams() && System.nanoTime() < end) {
			Mono.delay(POLL).block();
		}
		Mono.delay(WARM_UP).block();
		long cpu = relayCpuNanos();
		long start = System.nanoTime();
		sink.setCounting(true);
		Mono.delay(Duration.ofSeconds(options.getSeconds())).block();
		sink.setCounting(false);
		double seconds = (System.nanoTime() - start) / NANOS;
		double cores = (relayCpuNanos() - cpu) / NANOS / seconds;
		all.dispose();
		return new Result(running.get(), sink.tokens() / seconds, cores, sink.ageMs(50), sink.ageMs(99));
	}

	private Function<AtomicInteger, Flux<ByteBuf>> direct(String address) {
		HttpClient c = client();
		return (running) -> c.doOnResponse((r, x) -> running.incrementAndGet())
			.get()
			.uri("http://" + address + "/decode/x")
			.responseContent()
			.map((b) -> b);
	}

	private Function<AtomicInteger, Flux<ByteBuf>> through(String address) {
		HttpClient c = client().headers((h) -> h.set("Authorization", "Bearer " + RelayVm.TOKEN))
			.headers((h) -> h.set("Shallotspur-Class", RelayVm.CLASS));
		byte[] body = "{\"prompt\":\"x\",\"stream\":true}".getBytes(StandardCharsets.UTF_8);
		return (running) -> c.doOnResponse((r, x) -> running.incrementAndGet())
			.post()
			.uri("http://" + address + "/v1/completions")
			.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body)))
			.responseContent()
			.map((b) -> b);
	}

	private HttpClient client() {
		return HttpClient.create(ConnectionProvider.newConnection()).runOn(this.clientLoops);
	}

	private static long relayCpuNanos() {
		ThreadMXBean b = ManagementFactory.getThreadMXBean();
		long sum = 0;
		for (ThreadInfo t : b.getThreadInfo(b.getAllThreadIds())) {
			if (t != null && (t.getThreadName().startsWith("relay-") || t.getThreadName().startsWith("cell-"))) {
				sum += Math.max(0, b.getThreadCpuTime(t.getThreadId()));
			}
		}
		return sum;
	}

	private static void print(RelayOptions o, String path, Result r, PrintStream out) {
		long offered = 1000L * o.getStreams() * o.getBurst() / o.getIntervalMs();
		String perCore = (r.cores > 0) ? String.format("%.0f", r.tokensPerS / r.cores) : "-";
		out.printf(LINE, path, r.streams, o.getBurst(), offered, String.format("%.0f", r.tokensPerS),
				String.format("%.2f", r.cores), perCore, String.format("%.2f", r.p50Ms),
				String.format("%.2f", r.p99Ms));
	}

	/**
	 * What one path gave.
	 *
	 * @param streams the answers that were streamed at a time
	 * @param tokensPerS the tokens that callers got a second
	 * @param cores the processor time of the relay's threads, as a part of a core
	 * @param p50Ms half of the tokens were younger, in milliseconds
	 * @param p99Ms 99 in 100 of the tokens were younger, in milliseconds
	 */
	private record Result(int streams, double tokensPerS, double cores, double p50Ms, double p99Ms) {

	}

}
