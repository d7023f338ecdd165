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
 * Merges the engine statistics of all VMs: the store has one entry for each upstream, and
 * each VM adds its own samples to it. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Each VM observes only a small part of the requests. On its own, the VM that divides the
 * workers between the stages would need ten seconds of traffic to learn what all VMs
 * together know within one second, and a VM that starts during a burst would know
 * nothing.
 * <p>
 * Invariants: samples are added by compare-and-set on the entry's position, so no VM
 * overwrites the samples of another. A VM publishes once its new samples are about a
 * quarter of the known ones, and once there are many, only if they differ from the known
 * statistics. So the number of calls grows with the logarithm of the traffic.
 */
public final class SharedEngineStats {

	private static final long TICK_MS = 400;

	// A mean of this many requests is accurate to a few percent. The cap also lets newer
	// samples outweigh older ones.
	private static final int MAX_SAMPLES = 64;

	private static final int MIN_NEW_SAMPLES = 2;

	// Delay after a call that failed or lost to another VM's write, ms. An unavailable
	// store refuses every call, and a VM whose watch is interrupted knows only an old
	// revision.
	private static final long RETRY_MS = 2_000;

	// A VM publishes once its new samples are at least 1/4 of the known ones.
	private static final int NEW_SAMPLES_DIVISOR = 4;

	// Once many samples are known, only statistics that differ by more than this are
	// published. The mean of the new samples alone, at least 16 by then, has a random
	// error of half as much if single requests vary by half of the mean.
	private static final double MIN_DIFFERENCE = 0.25;

	private final Registry registry;

	private final Gateway gateway;

	private final GatewayTimer timer;

	private final DoubleSupplier random;

	private final Map<String, RegistryChange.EngineStatsUpdated> known = new HashMap<>();

	// Upstreams with a call in flight or a pending retry delay.
	private final Set<String> blocked = new HashSet<>();

	private boolean stopped;

	/**
	 * Creates an instance without statistics.
	 * @param registry the registry
	 * @param gateway supplies this VM's samples and receives the merged statistics
	 * @param timer the gateway's timer
	 * @param random supplies random numbers from 0 to 1
	 */
	public SharedEngineStats(Registry registry, Gateway gateway, GatewayTimer timer, DoubleSupplier random) {
		this.registry = registry;
		this.gateway = gateway;
		this.timer = timer;
		this.random = random;
	}

	/**
	 * Starts publishing.
	 */
	public void start() {
		scheduleTick();
	}

	/**
	 * Stops publishing.
	 */
	public void stop() {
		this.stopped = true;
	}

	void onStats(RegistryChange.EngineStatsUpdated update) {
		RegistryChange.EngineStatsUpdated old = this.known.get(update.upstream());
		if (old == null || update.position().compareTo(old.position()) > 0) {
			this.known.put(update.upstream(), update);
			this.gateway.engineTimes(update.upstream()).setSharedStatistics(update.stats());
		}
	}

	// The next listing returns the entries that the restored store has.
	void onStoreRestored() {
		this.known.clear();
	}

	// The random part keeps VMs from publishing at the same moment, where only one of
	// their writes would succeed.
	private void scheduleTick() {
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
				.forEach(this::publishIfDue));
		scheduleTick();
	}

	private void publishIfDue(String upstream) {
		RegistryChange.EngineStatsUpdated entry = this.known.get(upstream);
		EngineStatistics all = (entry != null) ? entry.stats() : null;
		EngineTimeEstimator times = this.gateway.engineTimes(upstream);
		Optional<EngineStatistics> part = times.unsharedStatistics().filter((p) -> shouldPublish(all, p));
		if (part.isPresent() && this.blocked.add(upstream)) {
			publish(upstream, times, entry, part.get());
		}
	}

	private void publish(String upstream, EngineTimeEstimator times, RegistryChange.@Nullable EngineStatsUpdated entry,
			EngineStatistics part) {
		EngineStatistics old = (entry != null) ? entry.stats().limitSamples(MAX_SAMPLES) : null;
		EngineStatistics sum = EngineStatistics.merge(old, part);
		this.registry.publishStats(upstream, sum, (entry != null) ? entry.position() : StorePosition.NONE)
			.subscribe((done) -> {
				if (done) {
					times.markShared(part);
					this.blocked.remove(upstream);
				}
				else {
					unblockLater(upstream);
				}
				Logger.info("[figures] publish attempt completed upstream={} told={} done={}", upstream, sum, done);
			}, (ex) -> {
				unblockLater(upstream);
				Logger.info("[figures] not published upstream={} seen=\"{}\"", upstream, ex.toString());
			});
	}

	private void unblockLater(String upstream) {
		this.timer.schedule(RETRY_MS, () -> this.blocked.remove(upstream));
	}

	static boolean shouldPublish(@Nullable EngineStatistics all, EngineStatistics part) {
		int n = (all != null) ? Math.min(MAX_SAMPLES, all.samples()) : 0;
		if (part.samples() < Math.max(MIN_NEW_SAMPLES, n / NEW_SAMPLES_DIVISOR)) {
			return false;
		}
		return all == null || n < MAX_SAMPLES || differ(all.promptTokens(), part.promptTokens())
				|| differ(all.outputTokens(), part.outputTokens())
				|| differ(all.prefillTokenMs(), part.prefillTokenMs())
				|| differ(all.outputTokenMs(), part.outputTokenMs());
	}

	private static boolean differ(double one, double other) {
		return Math.abs(one - other) > MIN_DIFFERENCE * Math.max(one, other);
	}

}
