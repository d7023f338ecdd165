package io.shallotspur.registry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;

import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EngineTimeEstimator;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.gateway.GatewayTimer;
import io.shallotspur.route.UpstreamSpec;

/**
 * What all VMs together have seen of the engines of each upstream: one entry in the
 * store, to which each VM adds its part. Not thread-safe; confined to the gateway's
 * thread.
 * <p>
 * Each VM sees a small part of the requests. Alone, the one that shares the workers out
 * would need ten seconds of traffic to know what its neighbours know together within one,
 * and a VM that starts in the middle of a burst would know nothing.
 * <p>
 * Invariants: a part is added under the condition that the entry is as this VM knows it,
 * so that none undoes another's; each part is about a quarter of what is known, and once
 * much is known only what differs from it is told, so that the calls grow with the
 * logarithm of the traffic.
 */
public final class SharedEngineStats {

	private static final long TICK_MS = 400;

	// A mean of so many requests is good to some percent; older ones yield to newer.
	private static final int MOST_SAMPLES = 64;

	private static final int LEAST_PART = 2;

	// After a call that failed or was overtaken, ms. A store that is away refuses each
	// call, and a VM that is cut off from its news knows an old revision.
	private static final long RETRY_MS = 2_000;

	// The part of the known requests that a VM must have seen anew to tell of them.
	private static final int PART = 4;

	// Once much is known, only figures that differ by more than this are told; a mean of
	// the part that is told then is wrong by half as much.
	private static final double DIFFERENCE = 0.25;

	private final Registry registry;

	private final Gateway gateway;

	private final GatewayTimer timer;

	private final DoubleSupplier random;

	private final Map<String, RegistryChange.EngineStatsUpdated> known = new HashMap<>();

	// Upstreams that are not told of at present.
	private final Set<String> waiting = new HashSet<>();

	private boolean stopped;

	/**
	 * Creates an exchange that knows nothing.
	 * @param registry the registry
	 * @param gateway sees requests, and is told what others have seen
	 * @param timer the gateway's timer
	 * @param random numbers from 0 to 1
	 */
	public SharedEngineStats(Registry registry, Gateway gateway, GatewayTimer timer, DoubleSupplier random) {
		this.registry = registry;
		this.gateway = gateway;
		this.timer = timer;
		this.random = random;
	}

	/**
	 * Begins to tell.
	 */
	public void start() {
		later();
	}

	/**
	 * Stops telling.
	 */
	public void stop() {
		this.stopped = true;
	}

	void onStats(RegistryChange.EngineStatsUpdated news) {
		RegistryChange.EngineStatsUpdated old = this.known.get(news.upstream());
		if (old == null || news.position().compareTo(old.position()) > 0) {
			this.known.put(news.upstream(), news);
			this.gateway.engineTimes(news.upstream()).setSharedStatistics(news.stats());
		}
	}

	// What the store has now is heard with its listing.
	void onStoreRestored() {
		this.known.clear();
	}

	// VMs that tell in the same moment hinder each other.
	private void later() {
		this.timer.schedule((long) (TICK_MS * (0.5 + this.random.getAsDouble())), this::tick);
	}

	private void tick() {
		if (this.stopped) {
			return;
		}
		this.gateway.routeTable()
			.ifPresent((t) -> t.upstreams()
				.stream()
				.filter((u) -> u.engine() != null)
				.map(UpstreamSpec::name)
				.forEach(this::look));
		later();
	}

	private void look(String upstream) {
		RegistryChange.EngineStatsUpdated k = this.known.get(upstream);
		EngineStatistics all = (k != null) ? k.stats() : null;
		EngineTimeEstimator times = this.gateway.engineTimes(upstream);
		Optional<EngineStatistics> part = times.unsharedStatistics().filter((p) -> shouldPublish(all, p));
		if (part.isPresent() && this.waiting.add(upstream)) {
			tell(upstream, times, k, part.get());
		}
	}

	private void tell(String upstream, EngineTimeEstimator times, RegistryChange.@Nullable EngineStatsUpdated k, EngineStatistics part) {
		EngineStatistics old = (k != null) ? k.stats().limitSamples(MOST_SAMPLES) : null;
		EngineStatistics sum = EngineStatistics.merge(old, part);
		this.registry.publishStats(upstream, sum, (k != null) ? k.position() : StorePosition.NONE).subscribe((done) -> {
			if (done) {
				times.markShared(part);
				this.waiting.remove(upstream);
			}
			else {
				waitFor(upstream);
			}
			Logger.info("[figures] upstream={} told={} done={}", upstream, sum, done);
		}, (ex) -> {
			waitFor(upstream);
			Logger.info("[figures] upstream={} not told seen=\"{}\"", upstream, ex.toString());
		});
	}

	private void waitFor(String upstream) {
		this.timer.schedule(RETRY_MS, () -> this.waiting.remove(upstream));
	}

	static boolean shouldPublish(@Nullable EngineStatistics all, EngineStatistics part) {
		int n = (all != null) ? Math.min(MOST_SAMPLES, all.samples()) : 0;
		if (part.samples() < Math.max(LEAST_PART, n / PART)) {
			return false;
		}
		return all == null || n < MOST_SAMPLES || differ(all.promptTokens(), part.promptTokens())
				|| differ(all.outputTokens(), part.outputTokens())
				|| differ(all.prefillTokenMs(), part.prefillTokenMs())
				|| differ(all.outputTokenMs(), part.outputTokenMs());
	}

	private static boolean differ(double one, double other) {
		return Math.abs(one - other) > DIFFERENCE * Math.max(one, other);
	}

}
