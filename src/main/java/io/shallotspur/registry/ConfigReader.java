package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.List;

import org.tinylog.Logger;

import io.shallotspur.gateway.ConfigSource;
import io.shallotspur.gateway.Gateway;
import io.shallotspur.route.RouteTable;

/**
 * Reads the newest configuration when the gateway has to know that it has it. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * A watch does not prove it: one that was lost with a silent connection, or that a store
 * serves from a history that it has dropped, looks like one without changes. Nor does the
 * renewal of a lease, whose answer says nothing of the configuration.
 * <p>
 * Invariant: one call is under way at a time, and all who ask meanwhile share its answer;
 * after a failure the store is left alone for a while, so that requests without a proof
 * are refused at once and do not each wait for a store that is away.
 */
public final class ConfigReader implements ConfigSource {

	// After a call that failed, ms. Within the time in which a proof is still good
	// several tries are made.
	private static final long RETRY_MS = 300;

	private final Registry registry;

	private final Gateway gateway;

	private final List<Runnable> waiting = new ArrayList<>();

	private boolean underWay;

	private long failedAt = Long.MIN_VALUE / 2;

	// Until then the store may show an older configuration than the operator's newest.
	private long outdatedUntil = Long.MIN_VALUE / 2;

	private long versionThen;

	/**
	 * Creates a reader.
	 * @param registry the registry
	 * @param gateway is told what was read
	 */
	public ConfigReader(Registry registry, Gateway gateway) {
		this.registry = registry;
		this.gateway = gateway;
	}

	@Override
	public void refresh(Runnable then) {
		long now = this.gateway.elapsedMs();
		if (!this.underWay && now - this.failedAt < RETRY_MS) {
			then.run();
			return;
		}
		this.waiting.add(then);
		if (!this.underWay) {
			this.underWay = true;
			this.registry.readConfiguration().subscribe((t) -> read(t, now), this::failed);
		}
	}

	/**
	 * Takes that the store has come back from an older copy. A key may have been revoked
	 * by a configuration that went with what was lost: until the operator has written
	 * again, only one that is newer than all that was known proves anything.
	 * @param oldMs for how long the store may show an older one, in milliseconds
	 */
	public void onStoreRestored(long oldMs) {
		this.outdatedUntil = this.gateway.elapsedMs() + oldMs;
		this.versionThen = version();
	}

	private long version() {
		return this.gateway.routeTable().map(RouteTable::version).orElse(0L);
	}

	private void read(RouteTable t, long asked) {
		// If the watch has brought a newer one meanwhile, that one stays in force, and
		// this answer may be one of an older copy: the next question is to show it.
		boolean newest = t.version() >= version();
		this.gateway.configure(t);
		if (newest && (asked >= this.outdatedUntil || t.version() > this.versionThen)) {
			this.gateway.configConfirmed(asked);
		}
		over();
	}

	private void failed(Throwable ex) {
		this.failedAt = this.gateway.elapsedMs();
		Logger.warn("[registry] configuration not read seen=\"{}\"", ex.toString());
		over();
	}

	private void over() {
		this.underWay = false;
		List<Runnable> l = List.copyOf(this.waiting);
		this.waiting.clear();
		l.forEach(Runnable::run);
	}

}
