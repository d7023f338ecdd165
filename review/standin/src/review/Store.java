package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.UnaryOperator;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** A sound stand-in of the platform's store. All state is guarded by the monitor. */
final class Store {

	private static final int PAGE = 500;

	private static final Pattern VALUE = Pattern.compile("\"value\":\"([A-Za-z0-9+/=]*)\"");

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Event> events = new ArrayList<>();

	private final Map<Long, Lease> leases = new HashMap<>();

	private long revision = 10;

	private long lastLease = 1_000;

	private final ExecutorService threads = Executors.newCachedThreadPool((r) -> {
		Thread t = new Thread(r, "store");
		t.setDaemon(true);
		return t;
	});

	/** Returns the address of a view in which the values are as they were written. */
	String address() throws IOException {
		return address(UnaryOperator.identity());
	}

	/**
	 * Opens an address for one machine.
	 * @param view what a value looks like there
	 */
	String address(UnaryOperator<String> view) throws IOException {
		HttpServer s = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
		s.setExecutor(this.threads);
		s.createContext("/", (x) -> handle(x, view));
		s.start();
		return "127.0.0.1:" + s.getAddress().getPort();
	}

	synchronized long put(String key, String json) {
		return put(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
	}

	private long put(String key, String value, long lease) {
		Item old = this.items.get(key);
		long r = ++this.revision;
		Item i = new Item(key, value, r, (old != null) ? old.created : r, lease);
		this.items.put(key, i);
		this.events.add(new Event(r, i.json()));
		notifyAll();
		return r;
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			long r = ++this.revision;
			this.events.add(
					new Event(r, "{\"key\":" + Json.quote(key) + ",\"revision\":" + r + ",\"tombstone\":true}"));
			notifyAll();
		}
	}

	/** Returns the value of a key, empty if there is none. */
	synchronized String get(String key) {
		expire();
		Item i = this.items.get(key);
		return (i != null) ? new String(Base64.getDecoder().decode(i.value), StandardCharsets.UTF_8) : "";
	}

	private void expire() {
		long now = System.nanoTime();
		for (long id : List.copyOf(this.leases.keySet())) {
			if (this.leases.get(id).end < now) {
				end(id);
			}
		}
	}

	private void end(long id) {
		this.leases.remove(id);
		List.copyOf(this.items.values()).stream().filter((i) -> i.lease == id).forEach((i) -> remove(i.key));
	}

	private void handle(HttpExchange x, UnaryOperator<String> view) throws IOException {
		try {
			String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
			Reply r = reply(x.getRequestMethod(), x.getRequestURI().getPath(), query(x.getRequestURI().getRawQuery()),
					body);
			byte[] b = viewed(r.body, view).getBytes(StandardCharsets.UTF_8);
			x.getResponseHeaders().add("Content-Type", "application/json");
			x.sendResponseHeaders(r.status, b.length);
			try (OutputStream out = x.getResponseBody()) {
				out.write(b);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			x.close();
		}
	}

	private static String viewed(String body, UnaryOperator<String> view) {
		return VALUE.matcher(body).replaceAll((m) -> {
			String value = new String(Base64.getDecoder().decode(m.group(1)), StandardCharsets.UTF_8);
			byte[] seen = view.apply(value).getBytes(StandardCharsets.UTF_8);
			return "\"value\":\"" + Base64.getEncoder().encodeToString(seen) + "\"";
		});
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> m = new HashMap<>();
		if (raw != null) {
			for (String p : raw.split("&")) {
				int i = p.indexOf('=');
				if (i > 0) {
					m.put(p.substring(0, i), URLDecoder.decode(p.substring(i + 1), StandardCharsets.UTF_8));
				}
			}
		}
		return m;
	}

	private synchronized Reply reply(String method, String path, Map<String, String> q, String body)
			throws InterruptedException {
		expire();
		String call = method + " " + path;
		if (call.equals("GET /api/kv-key")) {
			Item i = this.items.get(q.get("key"));
			return (i != null) ? new Reply(200, i.json()) : new Reply(404, "{}");
		}
		if (call.equals("GET /api/kv-range")) {
			return range(q.getOrDefault("prefix", ""), q.getOrDefault("after", ""));
		}
		if (call.equals("GET /api/kv-watch")) {
			return watch(q.getOrDefault("prefix", ""), Long.parseLong(q.getOrDefault("after", "0")),
					Long.parseLong(q.getOrDefault("wait_ms", "0")));
		}
		if (call.equals("POST /api/kv-lease")) {
			long ttl = ((Number) ((Map<?, ?>) Json.parse(body)).get("ttl_ms")).longValue();
			long id = ++this.lastLease;
			this.leases.put(id, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
			return new Reply(200, "{\"lease\":" + id + ",\"ttl_ms\":" + ttl + "}");
		}
		if (call.startsWith("POST /api/kv-keep/")) {
			Lease l = this.leases.get(Long.parseLong(path.substring("/api/kv-keep/".length())));
			if (l == null) {
				return new Reply(404, "{}");
			}
			l.end = System.nanoTime() + l.ttl * 1_000_000;
			return new Reply(200, "{\"ttl_ms\":" + l.ttl + "}");
		}
		if (call.startsWith("DELETE /api/kv-lease-end/")) {
			end(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
			return new Reply(200, "{}");
		}
		return call.equals("POST /api/kv-txn") ? transact(body) : new Reply(404, "{}");
	}

	private Reply range(String prefix, String after) {
		StringBuilder b = new StringBuilder("{\"items\":[");
		int n = 0;
		boolean truncated = false;
		for (Item i : this.items.tailMap(after, false).values()) {
			if (!i.key.startsWith(prefix)) {
				continue;
			}
			if (n == PAGE) {
				truncated = true;
				break;
			}
			b.append((n++ > 0) ? "," : "").append(i.json());
		}
		return new Reply(200, b + "],\"truncated\":" + truncated + ",\"store_revision\":" + this.revision + "}");
	}

	private Reply watch(String prefix, long after, long waitMs) throws InterruptedException {
		long end = System.nanoTime() + waitMs * 1_000_000;
		while (true) {
			expire();
			StringBuilder b = new StringBuilder();
			for (Event e : this.events) {
				if (e.revision > after && e.json.startsWith("{\"key\":\"" + prefix)) {
					b.append((b.length() > 0) ? "," : "").append(e.json);
				}
			}
			long left = (end - System.nanoTime()) / 1_000_000;
			if (b.length() > 0 || left <= 0) {
				return new Reply(200, "{\"events\":[" + b + "],\"store_revision\":" + this.revision + "}");
			}
			wait(Math.min(left, 100));
		}
	}

	private Reply transact(String body) {
		Map<?, ?> t = (Map<?, ?>) Json.parse(body);
		StringBuilder found = new StringBuilder();
		boolean holds = true;
		for (Object o : (List<?>) t.get("expected")) {
			Map<?, ?> e = (Map<?, ?>) o;
			Item i = this.items.get((String) e.get("key"));
			holds &= ((i != null) ? i.revision : 0) == ((Number) e.get("revision")).longValue();
			found.append((found.length() > 0) ? "," : "").append((i != null) ? i.json() : "null");
		}
		if (!holds) {
			return new Reply(412, "{\"items\":[" + found + "]}");
		}
		for (Object o : (List<?>) t.get("puts")) {
			long lease = ((Number) ((Map<?, ?>) o).get("lease")).longValue();
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return new Reply(404, "{}");
			}
		}
		((List<?>) t.get("remove")).forEach((k) -> remove((String) k));
		for (Object o : (List<?>) t.get("puts")) {
			Map<?, ?> p = (Map<?, ?>) o;
			put((String) p.get("key"), (String) p.get("value"), ((Number) p.get("lease")).longValue());
		}
		return new Reply(200, "{\"revision\":" + this.revision + "}");
	}

	private record Reply(int status, String body) {
	}

	private record Event(long revision, String json) {
	}

	private record Item(String key, String value, long revision, long created, long lease) {

		String json() {
			return "{\"key\":" + Json.quote(this.key) + ",\"value\":\"" + this.value + "\",\"revision\":"
					+ this.revision + ",\"created\":" + this.created + ",\"lease\":" + this.lease + "}";
		}

	}

	private static final class Lease {

		private final long ttl;

		private long end;

		Lease(long ttl, long end) {
			this.ttl = ttl;
			this.end = end;
		}

	}

}
