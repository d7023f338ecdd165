package io.shallotspur.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.cfg.Endpoint;

/**
 * A stand-in for the platform's store with its failures: away, history dropped, restored
 * from an older copy, small pages, answers that are not JSON. Leases of entry VMs end by
 * themselves. Thread-safe: methods hold its monitor.
 */
public final class FakeStore {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Duration POLL = Duration.ofMillis(5);

	private static final Duration TTL = Duration.ofSeconds(6);

	private final Map<String, ObjectNode> items = new TreeMap<>();

	private final List<ObjectNode> events = new ArrayList<>();

	private final Map<Long, Long> leases = new HashMap<>();

	private final DisposableServer server;

	private final AtomicInteger ranges = new AtomicInteger();

	private long revision = 1;

	private long lease = 100;

	private long firstKept;

	private int pageSize = 500;

	private boolean away;

	private boolean nonsense;

	private long era = 1;

	private Copy copy = new Copy(Map.of(), List.of(), Set.of(), 1);

	public FakeStore() {
		this.server = HttpServer.create()
			.host("127.0.0.1")
			.port(0)
			.route((r) -> r.get("/api/kv-range", this::range)
				.get("/api/kv-key", this::key)
				.get("/api/kv-watch", this::watch)
				.post("/api/kv-lease", this::lease)
				.post("/api/kv-keep/{id}", this::keep)
				.delete("/api/kv-lease-end/{id}", this::endLease)
				.post("/api/kv-txn", this::txn))
			.bindNow();
	}

	public Endpoint address() {
		return new Endpoint("127.0.0.1", this.server.port());
	}

	int ranges() {
		return this.ranges.get();
	}

	public synchronized void setUnavailable(boolean yes) {
		this.away = yes;
	}

	public synchronized void setMalformedResponses(boolean yes) {
		this.nonsense = yes;
	}

	synchronized void pageSize(int n) {
		this.pageSize = n;
	}

	public synchronized void dropHistory() {
		this.firstKept = this.revision;
		this.events.clear();
	}

	/** Makes the copy from which the store can come back. */
	public synchronized void takeSnapshot() {
		this.copy = new Copy(Map.copyOf(this.items), List.copyOf(this.events), Set.copyOf(this.leases.keySet()),
				this.revision);
	}

	/** Comes back from the copy: all that was written since is lost, leases too. */
	public synchronized void restoreSnapshot() {
		this.items.clear();
		this.items.putAll(this.copy.items());
		this.events.clear();
		this.events.addAll(this.copy.events());
		this.leases.keySet().retainAll(this.copy.leases());
		this.revision = this.copy.revision();
		this.era++;
	}

	/** Gives out leases again that another one had. */
	synchronized void reuseLease(long number) {
		this.leases.put(number, System.nanoTime() + TTL.toNanos());
	}

	synchronized void era(long next) {
		this.era = next;
	}

	public synchronized boolean hasKeyWithPrefix(String prefix) {
		return this.items.keySet().stream().anyMatch((k) -> k.startsWith(prefix));
	}

	public synchronized void put(String key, String json) {
		put(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
	}

	private void put(String key, String value, long ofLease) {
		ObjectNode n = JSON.createObjectNode()
			.put("key", key)
			.put("value", value)
			.put("revision", ++this.revision)
			.put("lease", ofLease);
		this.items.put(key, n);
		this.events.add(n);
	}

	public synchronized void remove(String key) {
		this.items.remove(key);
		this.events
			.add(JSON.createObjectNode().put("key", key).put("revision", ++this.revision).put("tombstone", true));
	}

	public void stop() {
		this.server.disposeNow();
	}

	// Leases run on while the store is away, as they may.
	private synchronized Publisher<Void> lease(HttpServerRequest q, HttpServerResponse s) {
		this.leases.put(++this.lease, System.nanoTime() + TTL.toNanos());
		return send(s, 200, JSON.createObjectNode().put("lease", this.lease).put("ttl_ms", TTL.toMillis()));
	}

	private synchronized Publisher<Void> keep(HttpServerRequest q, HttpServerResponse s) {
		expire();
		long id = Long.parseLong(q.param("id"));
		if (!this.away && this.leases.replace(id, System.nanoTime() + TTL.toNanos()) == null) {
			return send(s, 404, JSON.createObjectNode());
		}
		return send(s, 200, JSON.createObjectNode().put("ttl_ms", TTL.toMillis()));
	}

	private void expire() {
		long now = System.nanoTime();
		List.copyOf(this.leases.entrySet()).stream().filter((e) -> e.getValue() < now).forEach((e) -> end(e.getKey()));
	}

	private void end(long id) {
		this.leases.remove(id);
		List.copyOf(this.items.values())
			.stream()
			.filter((n) -> n.path("lease").asLong() == id)
			.forEach((n) -> remove(n.path("key").asText()));
	}

	private synchronized Publisher<Void> endLease(HttpServerRequest q, HttpServerResponse s) {
		end(Long.parseLong(q.param("id")));
		return send(s, 200, JSON.createObjectNode());
	}

	private Publisher<Void> txn(HttpServerRequest q, HttpServerResponse s) {
		return q.receive().aggregate().asString().flatMap((body) -> {
			try {
				JsonNode n = JSON.readTree(body);
				synchronized (this) {
					expire();
					if (this.away) {
						return Mono.from(s.status(503).send());
					}
					if (!holds(n.path("expected"))) {
						return Mono.from(send(s, 412, JSON.createObjectNode()));
					}
					n.path("remove").forEach((k) -> remove(k.asText()));
					n.path("puts")
						.forEach(
								(p) -> put(p.path("key").asText(), p.path("value").asText(), p.path("lease").asLong()));
					return Mono.from(send(s, 200, JSON.createObjectNode().put("revision", this.revision)));
				}
			}
			catch (IOException ex) {
				return Mono.error(ex);
			}
		});
	}

	private boolean holds(JsonNode expected) {
		boolean all = true;
		for (JsonNode e : expected) {
			ObjectNode item = this.items.get(e.path("key").asText());
			long revision = (item != null) ? item.path("revision").asLong() : 0;
			all &= revision == e.path("revision").asLong();
		}
		return all;
	}

	private synchronized Publisher<Void> key(HttpServerRequest q, HttpServerResponse s) {
		ObjectNode item = this.items.get(param(q, "key", ""));
		return (item != null) ? send(s, 200, item) : send(s, 404, JSON.createObjectNode());
	}

	private synchronized Publisher<Void> range(HttpServerRequest q, HttpServerResponse s) {
		this.ranges.incrementAndGet();
		String after = param(q, "after", "");
		ObjectNode out = JSON.createObjectNode();
		ArrayNode l = out.putArray("items");
		boolean more = false;
		for (Map.Entry<String, ObjectNode> e : this.items.entrySet()) {
			if (e.getKey().compareTo(after) > 0) {
				more = l.size() >= this.pageSize;
				if (more) {
					break;
				}
				l.add(e.getValue());
			}
		}
		out.put("truncated", more).put("store_revision", this.revision);
		return send(s, 200, out);
	}

	private Publisher<Void> watch(HttpServerRequest q, HttpServerResponse s) {
		long after = Long.parseLong(param(q, "after", "0"));
		long end = System.nanoTime() + Duration.ofMillis(Long.parseLong(param(q, "wait_ms", "0"))).toNanos();
		return poll(s, after, end);
	}

	private Mono<Void> poll(HttpServerResponse s, long after, long end) {
		synchronized (this) {
			expire();
			if (after < this.firstKept || after > this.revision) {
				return Mono.from(send(s, 410, JSON.createObjectNode()));
			}
			boolean any = this.events.stream().anyMatch((e) -> e.path("revision").asLong() > after);
			if (any || this.away || System.nanoTime() > end) {
				ObjectNode out = JSON.createObjectNode().put("store_revision", this.revision);
				ArrayNode l = out.putArray("events");
				this.events.stream().filter((e) -> e.path("revision").asLong() > after).forEach(l::add);
				return Mono.from(send(s, 200, out));
			}
		}
		return Mono.delay(POLL).then(Mono.defer(() -> poll(s, after, end)));
	}

	private synchronized Publisher<Void> send(HttpServerResponse s, int status, JsonNode body) {
		s.header(Names.STORE_ERA, Long.toString(this.era));
		if (this.away) {
			return s.status(503).send();
		}
		String text = this.nonsense ? "<html>" : body.toString();
		return s.status(status).sendString(Mono.just(text));
	}

	private static String param(HttpServerRequest q, String name, String dflt) {
		List<String> l = new QueryStringDecoder(q.uri()).parameters().get(name);
		return (l != null) ? l.get(0) : dflt;
	}

	private record Copy(Map<String, ObjectNode> items, List<ObjectNode> events, Set<Long> leases, long revision) {

	}

}
