package io.shallotspur.record;

import java.util.EnumMap;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/**
 * The metrics of one customer and class, registered under names of their own.
 * Thread-safe.
 */
final class ClassMetrics {

	private static final String PREFIX = "class/";

	private final String name;

	private final HdrReservoir ttftWindow = new HdrReservoir();

	private final HdrReservoir tbtWindow = new HdrReservoir();

	private final Histogram ttft = new Histogram(this.ttftWindow);

	private final Histogram tbt = new Histogram(this.tbtWindow);

	private final Map<Verdict, Counter> requests = new EnumMap<>(Verdict.class);

	private final Counter prefillTokens = new Counter();

	private final Counter wastedPrefillTokens = new Counter();

	ClassMetrics(String customer, String className, MetricRegistry registry) {
		this.name = PREFIX + customer + "/" + className + "/";
		registry.register(this.name + "ttft", this.ttft);
		registry.register(this.name + "tbt", this.tbt);
		registry.register(this.name + "prefill_tokens", this.prefillTokens);
		registry.register(this.name + "wasted_prefill_tokens", this.wastedPrefillTokens);
		for (Verdict v : Verdict.values()) {
			Counter c = new Counter();
			this.requests.put(v, c);
			registry.register(this.name + v, c);
		}
	}

	static boolean isClassMetric(String name) {
		return name.startsWith(PREFIX);
	}

	void addPrefill(long computed, long wasted) {
		this.prefillTokens.inc(computed);
		this.wastedPrefillTokens.inc(wasted);
	}

	void add(RequestEnd end) {
		counter(end.verdict()).inc();
		this.prefillTokens.inc(end.prefillTokens());
		this.wastedPrefillTokens.inc(end.wastedPrefillTokens());
		if (end.ttftMicros() >= 0) {
			this.ttft.update(end.ttftMicros());
		}
		for (long gap : end.gapsMicros()) {
			this.tbt.update(gap);
		}
	}

	void rotate() {
		this.ttftWindow.rotate();
		this.tbtWindow.rotate();
	}

	/**
	 * Hands the counts over, so that sums over all customers never fall.
	 * @param other receives the counts; quantiles stay behind
	 */
	void foldInto(ClassMetrics other) {
		this.requests.forEach((v, c) -> other.counter(v).inc(c.getCount()));
		other.prefillTokens.inc(this.prefillTokens.getCount());
		other.wastedPrefillTokens.inc(this.wastedPrefillTokens.getCount());
	}

	void removeFrom(MetricRegistry registry) {
		registry.removeMatching((n, m) -> n.startsWith(this.name));
	}

	Histogram ttft() {
		return this.ttft;
	}

	Histogram tbt() {
		return this.tbt;
	}

	long requests(Verdict verdict) {
		return counter(verdict).getCount();
	}

	long prefillTokens() {
		return this.prefillTokens.getCount();
	}

	long wastedPrefillTokens() {
		return this.wastedPrefillTokens.getCount();
	}

	private Counter counter(Verdict verdict) {
		Counter c = this.requests.get(verdict);
		if (c == null) {
			throw new IllegalStateException("Each verdict has a counter");
		}
		return c;
	}

}
