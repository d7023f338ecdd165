package io.shallotspur.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration. Immutable and thread-safe.
 */
public final class RouteTable {

	private final long version;

	private final Map<String, List<Route>> byHost;

	private final Map<String, UpstreamSpec> upstreams;

	private final IngressLimits limits;

	private final Map<String, Customer> byKeyHash;

	private final boolean requiresKeys;

	/**
	 * Creates a table.
	 * @param version its version; later ones are higher
	 * @param routes the routes
	 * @param upstreams the upstreams
	 * @param limits what callers may send
	 */
	public RouteTable(long version, List<Route> routes, List<UpstreamSpec> upstreams, IngressLimits limits) {
		this(version, routes, upstreams, limits, List.of());
	}

	/**
	 * Creates a table with customers.
	 * @param version its version; later ones are higher
	 * @param routes the routes
	 * @param upstreams the upstreams
	 * @param limits what callers may send
	 * @param customers the customers; if there are none, callers need no key
	 */
	public RouteTable(long version, List<Route> routes, List<UpstreamSpec> upstreams, IngressLimits limits,
			List<Customer> customers) {
		this.version = version;
		this.limits = limits;
		this.requiresKeys = !customers.isEmpty();
		Map<String, Customer> byKey = new HashMap<>();
		customers.forEach((c) -> c.keyHashes().forEach((k) -> byKey.put(k, c)));
		this.byKeyHash = Map.copyOf(byKey);
		Map<String, UpstreamSpec> byName = new HashMap<>();
		upstreams.forEach((u) -> byName.put(u.name(), u));
		this.upstreams = Map.copyOf(byName);
		this.byHost = index(routes);
	}

	private static Map<String, List<Route>> index(List<Route> routes) {
		Map<String, List<Route>> m = new HashMap<>();
		routes.forEach((r) -> m.computeIfAbsent(r.host(), (h) -> new ArrayList<>()).add(r));
		// The longest prefix first, so that the first match is the right one.
		Comparator<Route> longest = Comparator.comparingInt((Route r) -> -r.pathPrefix().length());
		m.replaceAll((h, l) -> l.stream().sorted(longest).toList());
		return Map.copyOf(m);
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns all upstreams.
	 * @return the upstreams, in no order
	 */
	public Collection<UpstreamSpec> upstreams() {
		return this.upstreams.values();
	}

	/**
	 * Returns what callers may send.
	 * @return the limits
	 */
	public IngressLimits limits() {
		return this.limits;
	}

	/**
	 * Tells whether callers must show whose they are.
	 * @return {@code false} if the operator keeps no customers
	 */
	public boolean requiresKeys() {
		return this.requiresKeys;
	}

	/**
	 * Finds the customer that a key belongs to.
	 * @param keyHash the hash of the key
	 * @return the customer, or empty if no customer has the key
	 */
	public Optional<Customer> findCustomer(String keyHash) {
		return Optional.ofNullable(this.byKeyHash.get(keyHash));
	}

	/**
	 * Returns an upstream.
	 * @param name its name
	 * @return the upstream, or empty if the table has none of that name
	 */
	public Optional<UpstreamSpec> upstream(String name) {
		return Optional.ofNullable(this.upstreams.get(name));
	}

	/**
	 * Finds the route of a request: among those of the host the one with the longest
	 * prefix that begins the path.
	 * @param host the host as the caller named it, with or without a port
	 * @param path the path, without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> findRoute(String host, String path) {
		int colon = host.lastIndexOf(':');
		String h = ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		for (Route r : this.byHost.getOrDefault(h, List.of())) {
			if (path.startsWith(r.pathPrefix())) {
				return Optional.of(r);
			}
		}
		return Optional.empty();
	}

}
