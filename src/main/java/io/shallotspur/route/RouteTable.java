package io.shallotspur.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A versioned snapshot of the routing configuration. Immutable and thread-safe.
 */
public final class RouteTable {

	private final long version;

	private final Map<String, List<Route>> routesByHost;

	private final Map<String, UpstreamSpec> upstreams;

	private final IngressLimits limits;

	private final Map<String, Customer> customersByKeyHash;

	private final boolean requiresKeys;

	private final Set<String> upstreamsWithSeveralPriorities;

	/**
	 * Creates a table.
	 * @param version the version; newer versions are higher
	 * @param routes the routes
	 * @param upstreams the upstreams
	 * @param limits the limits for callers
	 */
	public RouteTable(long version, List<Route> routes, List<UpstreamSpec> upstreams, IngressLimits limits) {
		this(version, routes, upstreams, limits, List.of());
	}

	/**
	 * Creates a table with customers.
	 * @param version the version; newer versions are higher
	 * @param routes the routes
	 * @param upstreams the upstreams
	 * @param limits the limits for callers
	 * @param customers the customers; if there are none, callers need no key
	 */
	public RouteTable(long version, List<Route> routes, List<UpstreamSpec> upstreams, IngressLimits limits,
			List<Customer> customers) {
		this.version = version;
		this.limits = limits;
		this.requiresKeys = !customers.isEmpty();
		Map<String, Customer> byKey = new HashMap<>();
		customers.forEach((c) -> c.keyHashes().forEach((k) -> byKey.put(k, c)));
		this.customersByKeyHash = Map.copyOf(byKey);
		Map<String, UpstreamSpec> byName = new HashMap<>();
		upstreams.forEach((u) -> byName.put(u.name(), u));
		this.upstreams = Map.copyOf(byName);
		this.routesByHost = indexByHost(routes);
		this.upstreamsWithSeveralPriorities = upstreamsWithSeveralPriorities(routes);
	}

	private static Set<String> upstreamsWithSeveralPriorities(List<Route> routes) {
		Map<String, Set<Integer>> priorities = new HashMap<>();
		routes.forEach((r) -> r.targets()
			.forEach((t) -> priorities.computeIfAbsent(t.upstream(), (u) -> new HashSet<>()).add(r.priority())));
		priorities.values().removeIf((p) -> p.size() == 1);
		return Set.copyOf(priorities.keySet());
	}

	private static Map<String, List<Route>> indexByHost(List<Route> routes) {
		Map<String, List<Route>> index = new HashMap<>();
		routes.forEach((r) -> index.computeIfAbsent(r.host(), (h) -> new ArrayList<>()).add(r));
		// Sorted by descending prefix length, so that the first match is the longest.
		Comparator<Route> longest = Comparator.comparingInt((Route r) -> -r.pathPrefix().length());
		index.replaceAll((h, l) -> l.stream().sorted(longest).toList());
		return Map.copyOf(index);
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
	 * @return the upstreams, in no particular order
	 */
	public Collection<UpstreamSpec> upstreams() {
		return this.upstreams.values();
	}

	/**
	 * Returns the limits for callers.
	 * @return the limits
	 */
	public IngressLimits limits() {
		return this.limits;
	}

	/**
	 * Returns whether callers must authenticate with a key.
	 * @return {@code false} if no customers are configured
	 */
	public boolean requiresKeys() {
		return this.requiresKeys;
	}

	/**
	 * Returns the customers.
	 * @return those that have a key
	 */
	public Collection<Customer> customers() {
		return Set.copyOf(this.customersByKeyHash.values());
	}

	/**
	 * Returns the customer to which a key belongs.
	 * @param keyHash the hash of the key
	 * @return the customer, or empty if no customer has the key
	 */
	public Optional<Customer> findCustomer(String keyHash) {
		return Optional.ofNullable(this.customersByKeyHash.get(keyHash));
	}

	/**
	 * Tells whether routes of different priority share an upstream.
	 * @param upstream the upstream's name
	 * @return {@code false} if its routes all have the same priority
	 */
	public boolean hasSeveralPriorities(String upstream) {
		return this.upstreamsWithSeveralPriorities.contains(upstream);
	}

	/**
	 * Returns an upstream.
	 * @param name its name
	 * @return the upstream, or empty if there is none with that name
	 */
	public Optional<UpstreamSpec> upstream(String name) {
		return Optional.ofNullable(this.upstreams.get(name));
	}

	/**
	 * Finds the route of a request: the route of the host with the longest prefix that
	 * matches the path.
	 * @param host the host as sent by the caller, with or without a port
	 * @param path the path, without a query
	 * @return the route, or empty if none matches
	 */
	public Optional<Route> findRoute(String host, String path) {
		int colon = host.lastIndexOf(':');
		String h = ((colon > 0) ? host.substring(0, colon) : host).toLowerCase(Locale.ROOT);
		for (Route r : this.routesByHost.getOrDefault(h, List.of())) {
			if (path.startsWith(r.pathPrefix())) {
				return Optional.of(r);
			}
		}
		return Optional.empty();
	}

}
