package io.shallotspur.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.BearerKey;
import io.shallotspur.exc.InputException;
import io.shallotspur.route.Customer;
import io.shallotspur.route.EngineSpec;
import io.shallotspur.route.IngressLimits;
import io.shallotspur.route.Quota;
import io.shallotspur.route.QuotaUnit;
import io.shallotspur.route.Route;
import io.shallotspur.route.RouteKind;
import io.shallotspur.route.RouteTable;
import io.shallotspur.route.RouteTarget;
import io.shallotspur.route.UpstreamSpec;

/**
 * Decodes the operator's configuration. Stateless. Unknown fields are ignored, so that
 * newer configurations can add fields.
 */
final class ConfigDecoder {

	private static final double MS_PER_S = 1_000;

	// For routes without a timeout, ms: the longest time that callers wait.
	private static final long DEFAULT_TIMEOUT_MS = 60_000;

	private ConfigDecoder() {
	}

	static RouteTable decode(JsonNode n) throws InputException {
		if (!n.path("version").isIntegralNumber() || !n.path("routes").isArray() || !n.path("services").isArray()) {
			throw new InputException("The configuration is missing its version, routes or services.",
					PlatformNames.CONFIG_KEY);
		}
		List<Route> routes = new ArrayList<>();
		for (JsonNode r : n.path("routes")) {
			routes.add(route(r));
		}
		List<UpstreamSpec> upstreams = new ArrayList<>();
		for (JsonNode s : n.path("services")) {
			upstreams.add(upstream(s));
		}
		List<Customer> customers = new ArrayList<>();
		for (JsonNode t : n.path("tenants")) {
			customers.add(customer(t));
		}
		return new RouteTable(n.path("version").asLong(), routes, upstreams, limits(n.path("limits")), customers);
	}

	private static Route route(JsonNode r) throws InputException {
		String name = r.path("name").asText();
		String path = PlatformNames.CONFIG_KEY + " routes " + name;
		List<RouteTarget> targets = targets(r, path);
		String prefix = r.path("prefix").asText();
		if (targets.isEmpty() || !prefix.startsWith("/")) {
			throw new InputException("A route has no service or its prefix does not start with a slash.", path);
		}
		Integer priority = new ConfigFields(r, path).count("priority");
		return new Route(name, r.path("host").asText().toLowerCase(Locale.ROOT), prefix, kind(r, name), targets,
				r.path("timeout_ms").asLong(DEFAULT_TIMEOUT_MS), r.path("target_latency_ms").asLong(0),
				r.path("target_gap_ms").asLong(0), (priority != null) ? priority : 0,
				Math.max(1, r.path("max_attempts").asInt(1)), r.path("allow_resume").asBoolean(false),
				r.path("session_affinity").asBoolean(false), r.path("allow_anonymous").asBoolean(false));
	}

	private static RouteKind kind(JsonNode r, String name) throws InputException {
		return switch (r.path("kind").asText()) {
			case "safe" -> RouteKind.SAFE;
			case "streaming" -> RouteKind.STREAM;
			// Unknown kinds are treated as unsafe: running a request at most once is
			// valid for every kind.
			case "unsafe" -> RouteKind.UNSAFE;
			case "" -> throw new InputException("A route has no kind.", PlatformNames.CONFIG_KEY + " routes " + name);
			default -> RouteKind.UNSAFE;
		};
	}

	private static List<RouteTarget> targets(JsonNode r, String path) throws InputException {
		List<RouteTarget> l = new ArrayList<>();
		for (JsonNode t : r.path("traffic_split")) {
			l.add(new RouteTarget(t.path("service").asText(), new ConfigFields(t, path).amount("weight")));
		}
		if (l.isEmpty() && r.hasNonNull("service")) {
			l.add(new RouteTarget(r.path("service").asText(), 1));
		}
		return l;
	}

	private static UpstreamSpec upstream(JsonNode s) {
		return new UpstreamSpec(s.path("name").asText(), s.path("connection_limit").asInt(Integer.MAX_VALUE),
				engine(s.path("engine")));
	}

	private static @Nullable EngineSpec engine(JsonNode e) {
		if (!e.isObject()) {
			return null;
		}
		return new EngineSpec(e.path("slots").asInt(1), e.path("kv_cache_tokens").asLong(Long.MAX_VALUE),
				e.path("kv_token_bytes").asDouble(), e.path("link_mbps").asDouble(),
				(long) (e.path("kv_handle_s").asDouble() * MS_PER_S), e.path("hold_ms").asLong(0),
				e.path("stride").asInt(0));
	}

	private static Customer customer(JsonNode t) throws InputException {
		Set<String> hashes = new HashSet<>();
		for (JsonNode k : t.path("api_keys")) {
			hashes.add(BearerKey.hash(k.asText()));
		}
		String name = t.path("name").asText();
		ConfigFields f = new ConfigFields(t, PlatformNames.CONFIG_KEY + " tenants " + name);
		return new Customer(name, hashes, f.count("priority"), quota(f));
	}

	private static Quota quota(ConfigFields f) throws InputException {
		QuotaUnit unit = f.text("unit").equals("tokens") ? QuotaUnit.TOKENS : QuotaUnit.REQUESTS;
		return new Quota(unit, f.amount("rate_per_s"), f.amount("burst_size"), (int) f.amount("plain_tokens"));
	}

	private static IngressLimits limits(JsonNode l) {
		IngressLimits defaults = IngressLimits.DEFAULT;
		return new IngressLimits(l.path("max_header_bytes").asInt(defaults.maxHeaderBytes()),
				l.path("max_body_bytes").asInt(defaults.maxBodyBytes()),
				l.path("header_timeout_ms").asLong(defaults.headerTimeoutMs()),
				l.path("idle_timeout_ms").asLong(defaults.idleTimeoutMs()));
	}

}
