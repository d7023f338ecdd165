package io.shallotspur.record;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToLongFunction;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.instrumentation.dropwizard.DropwizardExports;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import io.prometheus.metrics.model.snapshots.Quantile;
import io.prometheus.metrics.model.snapshots.Quantiles;
import io.prometheus.metrics.model.snapshots.SummarySnapshot;

/**
 * The metrics of a node, with histograms for each customer and class. Thread-safe.
 * <p>
 * Invariant: at most {@code topCustomers} customers have metrics of their own, whatever
 * the number of customers; the rest is counted as {@link #OTHER}. A request is counted in
 * exactly one place, and a customer that loses its own metrics leaves its counts there.
 */
public final class NodeMetrics implements PrefillLog {

	/**
	 * The label of customers, and of classes, without metrics of their own.
	 */
	public static final String OTHER = "other";

	private static final int MAX_CLASSES = 16;

	private static final int TABLE_FACTOR = 4;

	private static final double MICROS = 1e-6;

	private static final double[] QUANTILES = { 0.5, 0.95, 0.99 };

	private final int topCustomers;

	private final MetricRegistry registry = new MetricRegistry();

	private final PrometheusRegistry exports = new PrometheusRegistry();

	private final TopCustomers use;

	private final Map<String, Map<String, ClassMetrics>> byCustomer = new HashMap<>();

	/**
	 * Creates metrics.
	 * @param topCustomers the most customers with metrics of their own
	 */
	public NodeMetrics(int topCustomers) {
		this.topCustomers = topCustomers;
		this.use = new TopCustomers(TABLE_FACTOR * topCustomers);
		DropwizardExports.builder()
			.dropwizardRegistry(this.registry)
			.metricFilter((name, metric) -> !ClassMetrics.isClassMetric(name))
			.register(this.exports);
		this.exports.register(this::collect);
	}

	/**
	 * Returns the registry for all other metrics of the node. They are exported under
	 * their own names, dots and slashes replaced by underscores.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Counts a request.
	 * @param end how it ended
	 */
	public void finished(RequestEnd end) {
		metricsOf(end.customer(), end.className()).add(end);
	}

	@Override
	public void prefilled(String customer, String className, long computed, long wasted, long now) {
		metricsOf(customer, className).addPrefill(computed, wasted);
	}

	/**
	 * Begins a new window of the quantiles and forgets former use by half. To be called
	 * once a minute.
	 */
	public synchronized void rotate() {
		this.use.decay();
		this.byCustomer.values().forEach((l) -> l.values().forEach(ClassMetrics::rotate));
	}

	/**
	 * Writes all metrics.
	 * @return the text format of Prometheus
	 */
	public String scrape() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			new PrometheusTextFormatWriter(false).write(out, this.exports.scrape());
		}
		catch (IOException ex) {
			throw new IllegalStateException("A buffer in memory does not fail", ex);
		}
		return out.toString(StandardCharsets.UTF_8);
	}

	private synchronized ClassMetrics metricsOf(String customer, String className) {
		this.use.add(customer);
		return metricsUnder(hasOwn(customer) ? customer : OTHER, className);
	}

	private ClassMetrics metricsUnder(String c, String className) {
		Map<String, ClassMetrics> classes = this.byCustomer.computeIfAbsent(c, (k) -> new HashMap<>());
		boolean known = classes.containsKey(className) || classes.size() < MAX_CLASSES;
		String k = known ? className : OTHER;
		return classes.computeIfAbsent(k, (x) -> new ClassMetrics(c, k, this.registry));
	}

	private boolean hasOwn(String customer) {
		if (this.byCustomer.containsKey(customer) && !customer.equals(OTHER)) {
			return true;
		}
		int own = this.byCustomer.size() - (this.byCustomer.containsKey(OTHER) ? 1 : 0);
		return own < this.topCustomers || replaceLeast(customer);
	}

	// A newcomer must have twice the use of the one it replaces, or two customers of
	// equal use would drive each other out at each request.
	private boolean replaceLeast(String customer) {
		String least = null;
		for (String c : this.byCustomer.keySet()) {
			if (!c.equals(OTHER) && (least == null || this.use.count(c) < this.use.count(least))) {
				least = c;
			}
		}
		if (least == null || this.use.count(customer) <= 2 * this.use.count(least)) {
			return false;
		}
		Map<String, ClassMetrics> former = this.byCustomer.remove(least);
		if (former != null) {
			former.forEach((name, m) -> {
				m.removeFrom(this.registry);
				m.foldInto(metricsUnder(OTHER, name));
			});
		}
		return true;
	}

	private synchronized MetricSnapshots collect() {
		List<MetricSnapshot> l = new ArrayList<>();
		l.add(summary("shallotspur_ttft_seconds", "Time to the first token.", ClassMetrics::ttft));
		l.add(summary("shallotspur_tbt_seconds", "Time between tokens.", ClassMetrics::tbt));
		l.add(counter("shallotspur_prefill_tokens", "Tokens computed.", ClassMetrics::prefillTokens));
		l.add(counter("shallotspur_wasted_prefill_tokens", "Tokens computed for nothing.",
				ClassMetrics::wastedPrefillTokens));
		l.add(requests());
		return new MetricSnapshots(l);
	}

	private MetricSnapshot requests() {
		CounterSnapshot.Builder b = CounterSnapshot.builder()
			.name("shallotspur_requests")
			.help("Requests by how they ended.");
		forEach((labels, m) -> {
			for (Verdict v : Verdict.values()) {
				b.dataPoint(CounterSnapshot.CounterDataPointSnapshot.builder()
					.labels(labels.add("verdict", v.name().toLowerCase(Locale.ROOT)))
					.value(m.requests(v))
					.build());
			}
		});
		return b.build();
	}

	private MetricSnapshot counter(String name, String help, ToLongFunction<ClassMetrics> value) {
		CounterSnapshot.Builder b = CounterSnapshot.builder().name(name).help(help);
		forEach((labels, m) -> b.dataPoint(
				CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(value.applyAsLong(m)).build()));
		return b.build();
	}

	private MetricSnapshot summary(String name, String help, Function<ClassMetrics, Histogram> value) {
		SummarySnapshot.Builder b = SummarySnapshot.builder().name(name).help(help);
		forEach((labels, m) -> {
			Histogram h = value.apply(m);
			b.dataPoint(SummarySnapshot.SummaryDataPointSnapshot.builder()
				.labels(labels)
				.count(h.getCount())
				.quantiles(quantiles(h.getSnapshot()))
				.build());
		});
		return b.build();
	}

	private static Quantiles quantiles(Snapshot s) {
		Quantiles.Builder b = Quantiles.builder();
		for (double q : QUANTILES) {
			b.quantile(new Quantile(q, s.getValue(q) * MICROS));
		}
		return b.build();
	}

	private void forEach(Visitor visitor) {
		this.byCustomer.forEach((customer, classes) -> classes
			.forEach((name, m) -> visitor.visit(Labels.of("class", name, "customer", customer), m)));
	}

	private interface Visitor {

		void visit(Labels labels, ClassMetrics metrics);

	}

}
