package io.shallotspur.gateway;

import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import org.jspecify.annotations.Nullable;

/**
 * Counters and timers of the request relay. Thread-safe, as the registry is.
 */
public final class RelayMetrics {

	// The first customers seen, up to this number, get their own time series; later ones
	// are counted together. Scraping tens of thousands of series would cost the VM more
	// time than its requests.
	private static final int MAX_CUSTOMER_SERIES = 64;

	// Less urgent quota ranks are counted as this one.
	private static final int MAX_RANK = 9;

	private final MetricRegistry registry;

	private final Map<String, AtomicLong> quotaShares = new ConcurrentHashMap<>();

	private final SeriesNames customers = new SeriesNames(MAX_CUSTOMER_SERIES);

	/**
	 * Creates the metrics of one VM.
	 * @param registry the registry that holds them
	 */
	public RelayMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void requestArrived(String route, @Nullable String customer) {
		this.registry.counter("relay.requests." + route).inc();
		countForCustomer("requests", customer);
	}

	// How long a request may have waited until it was read and its body was complete.
	void requestRead(long ms) {
		this.registry.timer("relay.unread").update(ms, TimeUnit.MILLISECONDS);
	}

	// A worker's response is read slowly, as its caller does not read.
	void readingPaused() {
		this.registry.counter("transit.paused").inc();
	}

	void resumedByCaller() {
		this.registry.counter("stream.resumed-by-caller").inc();
	}

	void firstByte(String route, long ms) {
		this.registry.timer("relay.first." + route).update(ms, TimeUnit.MILLISECONDS);
	}

	void answered(String route, @Nullable String customer, long ms) {
		this.registry.timer("relay.answered." + route).update(ms, TimeUnit.MILLISECONDS);
		if (customer != null) {
			this.registry.timer("customer.answered." + this.customers.seriesOf(customer))
				.update(ms, TimeUnit.MILLISECONDS);
		}
	}

	void refused(RefusalReason reason, @Nullable String customer) {
		this.registry.counter("relay.refused." + reason.code()).inc();
		countForCustomer("refused." + reason.code(), customer);
	}

	void overQuota(String customer, int rank) {
		countForCustomer("over-quota.rank-" + Math.min(MAX_RANK, rank), customer);
	}

	// This VM's share of the customer's quota, in units per second.
	void quotaShare(String customer, double unitsPerSecond) {
		String series = this.customers.seriesOf(customer);
		if (unitsPerSecond > 0 && !series.equals(SeriesNames.OTHERS)) {
			this.quotaShares.computeIfAbsent(series, this::quotaShareGauge).set((long) unitsPerSecond);
		}
	}

	private AtomicLong quotaShareGauge(String series) {
		AtomicLong value = new AtomicLong();
		this.registry.gauge("customer.quota-share." + series, () -> value::get);
		return value;
	}

	private void countForCustomer(String name, @Nullable String customer) {
		if (customer != null) {
			this.registry.counter("customer." + name + "." + this.customers.seriesOf(customer)).inc();
		}
	}

	void attemptEnded(AttemptOutcome end) {
		this.registry.counter("relay.attempt." + end.name().toLowerCase(Locale.ROOT)).inc();
	}

	void sentToVanished() {
		this.registry.counter("relay.sent-to-vanished").inc();
	}

	void limitChanged() {
		this.registry.counter("relay.limit-changed").inc();
	}

	void waitedForLimit() {
		this.registry.counter("relay.waited-for-limit").inc();
	}

	// A request waited for a reservation while others of another priority arrived.
	void queued(int rank, long ms, boolean yielded) {
		this.registry.timer("relay.queued." + rank).update(ms, TimeUnit.MILLISECONDS);
		if (yielded) {
			this.registry.counter("relay.yielded." + rank).inc();
		}
	}

	// A request was refused because it could not be served in time.
	void unservable(int rank) {
		this.registry.counter("relay.unservable." + rank).inc();
	}

	void plainCallWaited() {
		this.registry.counter("pace.call-waited").inc();
	}

	void plainCallRefused() {
		this.registry.counter("pace.call-refused").inc();
	}

	void sentToLimited() {
		this.registry.counter("relay.sent-to-limited").inc();
	}

	void leavingStated() {
		this.registry.counter("relay.leaving-stated").inc();
	}

	void sentToLeaving() {
		this.registry.counter("relay.sent-to-leaving").inc();
	}

	void pauseStarted() {
		this.registry.counter("relay.pause-started").inc();
	}

	void sentDuringPause() {
		this.registry.counter("relay.sent-during-pause").inc();
	}

	void workerNotReached() {
		this.registry.counter("path.worker-not-reached").inc();
	}

	void pathLost() {
		this.registry.counter("path.lost").inc();
	}

	void pathRegained() {
		this.registry.counter("path.regained").inc();
	}

	void sentThroughVm() {
		this.registry.counter("path.sent-through-vm").inc();
	}

	void crashChecked() {
		this.registry.counter("relay.crash-checked").inc();
	}

	void workerCrashed() {
		this.registry.counter("relay.worker-crashed").inc();
	}

	void endedWithConnection() {
		this.registry.counter("relay.ended-with-connection").inc();
	}

	void quarantined() {
		this.registry.counter("relay.quarantined").inc();
	}

	void retried() {
		this.registry.counter("relay.retried").inc();
	}

	// The retry budget was exhausted.
	void retryDenied() {
		this.registry.counter("relay.retry-denied").inc();
	}

	void callerDisconnected() {
		this.registry.counter("relay.caller-gone").inc();
	}

	void responseAborted() {
		this.registry.counter("relay.broken-off").inc();
	}

}
