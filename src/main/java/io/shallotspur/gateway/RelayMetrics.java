package io.shallotspur.gateway;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;

/**
 * Counters and histograms of the relaying. Thread-safe, as the registry is.
 */
public final class RelayMetrics {

	private final MetricRegistry registry;

	/**
	 * Creates the metrics of one VM.
	 * @param registry where they are kept
	 */
	public RelayMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void arrived(String route) {
		this.registry.counter("relay.requests." + route).inc();
	}

	void firstByte(String route, long ms) {
		this.registry.timer("relay.first." + route).update(ms, TimeUnit.MILLISECONDS);
	}

	void answered(String route, long ms) {
		this.registry.timer("relay.answered." + route).update(ms, TimeUnit.MILLISECONDS);
	}

	void refused(RefusalReason reason) {
		this.registry.counter("relay.refused." + reason.code()).inc();
	}

	void attemptEnded(AttemptEnd end) {
		this.registry.counter("relay.attempt." + end.name().toLowerCase(Locale.ROOT)).inc();
	}

	void retried() {
		this.registry.counter("relay.retried").inc();
	}

	void callerGone() {
		this.registry.counter("relay.caller-gone").inc();
	}

	void brokenOff() {
		this.registry.counter("relay.broken-off").inc();
	}

}
