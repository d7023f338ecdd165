package io.shallotspur.platform;

import java.nio.file.Path;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.gateway.QuotaTolerance;
import io.shallotspur.registry.ChangeDeadlines;
import io.shallotspur.util.toml.Problems;
import io.shallotspur.util.toml.TomlTable;

/**
 * Settings of an entry VM on the platform. Immutable.
 *
 * @param gateway the settings of the relaying
 * @param region the region of the VM's hall
 * @param cores processor cores that the VM may use; a part of one is a fraction
 * @param callers where callers connect
 * @param ready where the platform asks whether the VM is ready
 * @param locate where callers ask for addresses
 * @param metrics where metrics are served
 * @param store the platform's store
 * @param locateTtlMs how long callers may keep addresses, in milliseconds
 * @param graceMs how long the process may go on after SIGTERM, in milliseconds
 * @param changes how soon changes in the registry have to be acted on
 * @param orders how workers are given orders
 * @param log level and volume of the log
 */
record PlatformSettings(GatewaySettings gateway, String region, double cores, Endpoint callers, Endpoint ready,
		Endpoint locate, Endpoint metrics, Endpoint store, long locateTtlMs, long graceMs, ChangeDeadlines changes,
		OrderSettings orders, LogVolume log) {

	private static final long HOUR_MS = 3_600_000;

	private static final int MS_PER_S = 1_000;

	// Callers ask again this often at least; the shorter, the sooner they leave a VM that
	// has gone, and the more they ask. An answer costs below a millisecond, and some
	// callers keep it three times as long.
	private static final double MOST_TTL_S = 1;

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
		listen.finish();
		TomlTable store = root.table("store");
		Endpoint address = Endpoint.read(store, "address");
		store.finish();
		TomlTable bounds = root.table("bounds");
		TomlTable vm = root.table("vm");
		GatewaySettings g = gateway(vm, bounds);
		String region = vm.text("region", "default");
		double cores = vm.number("cpu_share", 1, 0.01, 10_000) * vm.number("cpu_speed", 1, 0.01, 10_000);
		vm.finish();
		double ttl = Math.min(MOST_TTL_S, bounds.number("locate_ttl_max_s", MOST_TTL_S, 0.1, 3_600));
		long grace = (long) (bounds.number("grace_s", 8, 0, 3_600) * MS_PER_S);
		ChangeDeadlines changes = new ChangeDeadlines(bounds.whole("worker_drain_ms", 2_000, 0, HOUR_MS),
				bounds.whole("config_apply_ms", 2_000, 0, HOUR_MS));
		OrderSettings orders = new OrderSettings(bounds.flag("workers_check_fences", false),
				bounds.whole("order_turn_ms", 3_000, 0, HOUR_MS));
		bounds.finish();
		TomlTable log = root.table("log");
		LogVolume volume = new LogVolume(log.text("level", "info"), (int) log.whole("lines_per_s", 100, 0, 1_000_000));
		log.finish();
		root.finish();
		return new PlatformSettings(g, region, cores, callers, ready, locate, metrics, address, (long) (ttl * MS_PER_S),
				grace, changes, orders, volume);
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
		QuotaTolerance d = QuotaTolerance.EXACT;
		double window = bounds.number("quota_window_s", (double) d.windowMs() / MS_PER_S, 0.1, 3_600);
		return new QuotaTolerance((long) (window * MS_PER_S), bounds.number("quota_overshoot", d.overshoot(), 0, 10),
				bounds.number("quota_slack", d.slack(), 0, 1e12));
	}

	/**
	 * How workers are given orders. Immutable.
	 *
	 * @param fenced whether workers refuse orders with a lower fencing number than one
	 * they have seen; without that no orders are given, since a VM that was paused could
	 * undo what its successor had ordered
	 * @param turnMs how long a VM waits after it has got the duty, in milliseconds
	 */
	record OrderSettings(boolean fenced, long turnMs) {

	}

	/**
	 * How much is logged. Immutable.
	 *
	 * @param level the least severe level that is written
	 * @param linesPerSecond the most lines about requests in a second
	 */
	record LogVolume(String level, int linesPerSecond) {

	}

}
