package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.List;

import org.tinylog.Logger;

import io.shallotspur.gateway.ConfigSource;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.route.RouteTable;

/**
 * Reads the configuration from the store when the gateway needs proof that it has the
 * latest one. Not thread-safe; confined to the gateway's thread.
 * <p>
 * A watch is no proof: one that was lost with a silent connection, or one that the store
 * serves from a history it has dropped, looks like a watch without changes. Neither is a
 * lease renewal, because its response does not contain the configuration.
 * <p>
 * Invariant: at most one call is in flight, and all callers that arrive meanwhile share
 * its response. After a failure no call is made for a short time, so requests without a
 * proof are refused immediately instead of each waiting for an unavailable store.
 */
public final class ConfigReader implements ConfigSource {

	// Delay after a failed call, ms. It allows several attempts while the last proof is
	// still valid.
	private static final long RETRY_MS = 300;

	private final Registry registry;

	private final Gateway gateway;

	private final List<Runnable> pending = new ArrayList<>();

	private boolean inFlight;

	private long failedAt = Long.MIN_VALUE / 2;

	// Until then the store may return an older configuration than the operator's latest,
	// in gateway.nowMs(): a time of day that is set must not end the period.
	private long staleUntil = Long.MIN_VALUE / 2;

	private long versionBeforeRestore;

	/**
	 * Creates a reader.
	 * @param registry the registry
	 * @param gateway receives the configurations and proofs
	 */
	public ConfigReader(Registry registry, Gateway gateway) {
		this.registry = registry;
		this.gateway = gateway;
	}

	@Override
	public void refresh(Runnable callback) {
		long now = this.gateway.elapsedMs();
		if (!this.inFlight && now - this.failedAt < RETRY_MS) {
			callback.run();
			return;
		}
		this.pending.add(callback);
		if (!this.inFlight) {
			this.inFlight = true;
			long monotonicMs = this.gateway.nowMs();
			this.registry.readConfiguration().subscribe((t) -> onConfiguration(t, now, monotonicMs), this::onFailure);
		}
	}

	/**
	 * Handles a restore of the store from an older snapshot. The restore may have lost a
	 * configuration that revoked a key. Until the operator has written again, only a
	 * configuration that is newer than all known ones is a proof.
	 * @param staleMs for how long the store may return an older configuration, in
	 * milliseconds
	 */
	public void onStoreRestored(long staleMs) {
		this.staleUntil = this.gateway.nowMs() + staleMs;
		this.versionBeforeRestore = currentVersion();
	}

	private long currentVersion() {
		return this.gateway.routeTable().map(RouteTable::version).orElse(0L);
	}

	private void onConfiguration(RouteTable t, long sentAt, long sentAtMonotonicMs) {
		// If the watch has delivered a newer configuration meanwhile, that one stays in
		// force. This response may then come from an older snapshot and proves nothing;
		// the next read decides.
		boolean newest = t.version() >= currentVersion();
		this.gateway.configure(t);
		if (newest && (sentAtMonotonicMs >= this.staleUntil || t.version() > this.versionBeforeRestore)) {
			this.gateway.configConfirmed(sentAt);
		}
		complete();
	}

	private void onFailure(Throwable ex) {
		this.failedAt = this.gateway.elapsedMs();
		Logger.warn("[registry] configuration not read seen=\"{}\"", ex.toString());
		complete();
	}

	private void complete() {
		this.inFlight = false;
		List<Runnable> l = List.copyOf(this.pending);
		this.pending.clear();
		l.forEach(Runnable::run);
	}

}
