package io.shallotspur.platform;

import java.nio.file.Path;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.quota.QuotaTolerance;
import io.shallotspur.registry.ChangeDeadlines;
import io.shallotspur.transit.ByteBudget;
import io.shallotspur.util.toml.Problems;
import io.shallotspur.util.toml.TomlTable;

/**
 * Settings of an entry VM on the platform. Immutable.
 *
 * @param gateway settings of the gateway
 * @param region the region of the VM's hall
 * @param cores processor cores that the VM may use; can be fractional
 * @param callers listen address for requests of callers
 * @param readiness listen address of the readiness check
 * @param locate listen address for lookups of entry VM addresses
 * @param metrics listen address of the metrics
 * @param tunnels listen address for other VMs that want to reach workers
 * @param peers listen address for messages of other VMs
 * @param store address of the platform's store
 * @param locateTtlMs how long callers may cache addresses, in milliseconds
 * @param graceMs how long the process may run after SIGTERM, in milliseconds
 * @param changeDeadlines how soon registry changes must take effect
 * @param orders settings of stage orders to workers
 * @param log log level and rate limit
 * @param transitBytes memory for what receivers have not read yet, in bytes
 */
record PlatformSettings(GatewaySettings gateway, String region, double cores, Endpoint callers, Endpoint readiness,
		Endpoint locate, Endpoint metrics, Endpoint tunnels, Endpoint peers, Endpoint store, long locateTtlMs,
		long graceMs, ChangeDeadlines changeDeadlines, OrderSettings orders, LogSettings log, long transitBytes) {

	private static final long HOUR_MS = 3_600_000;

	private static final int MS_PER_S = 1_000;

	// In seconds. The longest that callers are told to cache addresses. A shorter TTL
	// makes callers leave a stopped VM sooner, but look up addresses more often. A lookup
	// costs less than a millisecond, and some callers cache the addresses three times as
	// long as told.
	private static final double MAX_TTL_S = 1;

	static PlatformSettings read(Path file) throws InputException, SettingsException {
		Problems p = new Problems(file.toString());
		TomlTable root = TomlTable.parse(file, p);
		PlatformSettings s = read(root);
		if (!p.isEmpty()) {
			throw new SettingsException(p.toString(), file.toString());
		}
		return s;
	}

	private static PlatformSettings read(TomlTable root) {
		TomlTable listen = root.table("listen");
		Endpoint callers = Endpoint.read(listen, "callers");
		Endpoint ready = Endpoint.read(listen, "ready");
		Endpoint locate = Endpoint.read(listen, "locate");
		Endpoint metrics = new Endpoint(callers.host(), (int) listen.whole("metrics_port", 0, 0, 65_535));
		Endpoint tunnels = new Endpoint(callers.host(), (int) listen.whole("tunnel_port", 0, 0, 65_535));
		Endpoint peers = new Endpoint(callers.host(),
				(int) listen.whole("peer_port", Math.max(0, tunnels.port() - 1), 0, 65_535));
		listen.finish();
		TomlTable store = root.table("store");
		Endpoint address = Endpoint.read(store, "address");
		store.finish();
		TomlTable bounds = root.table("bounds");
		TomlTable vm = root.table("vm");
		GatewaySettings g = gateway(vm, bounds);
		String region = vm.text("region", "default");
		double cores = vm.number("cpu_share", 1, 0.01, 10_000) * vm.number("cpu_speed", 1, 0.01, 10_000);
		long transitBytes = ByteBudget.limit(vm.whole("memory_mb", 0, 0, 1 << 20) << 20,
				Runtime.getRuntime().maxMemory());
		vm.finish();
		double ttl = Math.min(MAX_TTL_S, bounds.number("locate_ttl_max_s", MAX_TTL_S, 0.1, 3_600));
		long grace = (long) (bounds.number("grace_s", 8, 0, 3_600) * MS_PER_S);
		ChangeDeadlines changes = new ChangeDeadlines(bounds.whole("worker_drain_ms", 2_000, 0, HOUR_MS),
				bounds.whole("config_apply_ms", 2_000, 0, HOUR_MS), bounds.whole("lost_call_ms", 3_000, 0, HOUR_MS),
				bounds.whole("worker_heartbeat_ms", 1_200, 1, HOUR_MS));
		OrderSettings orders = new OrderSettings(bounds.flag("workers_check_fences", false),
				bounds.whole("order_turn_ms", 3_000, 0, HOUR_MS));
		bounds.finish();
		TomlTable log = root.table("log");
		LogSettings logSettings = new LogSettings(log.text("level", "info"),
				(int) log.whole("lines_per_s", 100, 0, 1_000_000));
		log.finish();
		root.finish();
		return new PlatformSettings(g, region, cores, callers, ready, locate, metrics, tunnels, peers, address,
				(long) (ttl * MS_PER_S), grace, changes, orders, logSettings, transitBytes);
	}

	private static GatewaySettings gateway(TomlTable vm, TomlTable bounds) {
		String name = vm.text("name");
		String hall = vm.text("hall");
		return new GatewaySettings(name, hall, bounds.number("retry_ratio", 0.1, 0, 10),
				bounds.number("retry_slack", 10, 0, 1_000_000),
				(long) (bounds.number("retry_window_s", 10, 0.1, 3_600) * MS_PER_S))
			.withRevokedKeyMs(bounds.whole("revoked_key_ms", 0, 0, HOUR_MS))
			.withQuotas(quotas(bounds));
	}

	private static QuotaTolerance quotas(TomlTable bounds) {
		QuotaTolerance defaults = QuotaTolerance.EXACT;
		double window = bounds.number("quota_window_s", (double) defaults.windowMs() / MS_PER_S, 0.1, 3_600);
		return new QuotaTolerance((long) (window * MS_PER_S),
				bounds.number("quota_overshoot", defaults.overshoot(), 0, 10),
				bounds.number("quota_slack", defaults.slack(), 0, 1e12));
	}

	/**
	 * Settings of stage orders to workers. Immutable.
	 *
	 * @param fenced whether workers reject orders with a lower fencing token than one
	 * they have seen; if not, no orders are sent, because a VM that was paused could
	 * revert the orders of its successor
	 * @param handoverMs minimum time between the orders of two leaders, in milliseconds;
	 * a VM that takes over waits this long and 1.5 s more
	 */
	record OrderSettings(boolean fenced, long handoverMs) {

	}

	/**
	 * Log level and rate limit. Immutable.
	 *
	 * @param level the minimum level that is logged
	 * @param linesPerSecond the maximum number of log lines about requests per second
	 */
	record LogSettings(String level, int linesPerSecond) {

	}

}
