import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of the platform's store: keys, watches, transactions and leases, all in
 * memory. Thread-safe. It answers each call at once, a watch as soon as there is an
 * event.
 */
final class PlatformStore {

	private static final Pattern ENTRY = Pattern
		.compile("\"key\":\"([^\"]*)\"(?:,\"revision\":(\\d+))?(?:,\"value\":\"([^\"]*)\",\"lease\":(\\d+))?");

	private final HttpServer server;

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<String[]> history = new ArrayList<>();

	private final Map<Long, long[]> leases = new HashMap<>();

	private long revision = 1;

	private long lastLease;

	PlatformStore() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 100);
		this.server.setExecutor(Executors.newCachedThreadPool((r) -> {
			Thread t = new Thread(r, "store");
			t.setDaemon(true);
			return t;
		}));
		this.server.createContext("/api/", (x) -> {
			try (x) {
				handle(x);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		this.server.start();
	}

	int port() {
		return this.server.getAddress().getPort();
	}

	void stop() {
		this.server.stop(0);
	}

	synchronized long put(String key, String json) {
		return putEncoded(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
	}

	synchronized void remove(String key) {
		if (this.items.remove(key) != null) {
			this.revision++;
			this.history.add(new String[] { "" + this.revision, "{\"key\":\"" + key + "\",\"revision\":" + this.revision
					+ ",\"tombstone\":true}" });
			notifyAll();
		}
	}

	private long putEncoded(String key, String value, long lease) {
		Item before = this.items.get(key);
		this.revision++;
		Item i = new Item(key, value, this.revision, (before != null) ? before.created : this.revision, lease);
		this.items.put(key, i);
		this.history.add(new String[] { "" + this.revision, i.json() });
		notifyAll();
		return this.revision;
	}

	private void expire() {
		long now = System.nanoTime() / 1_000_000;
		for (Iterator<Map.Entry<Long, long[]>> it = this.leases.entrySet().iterator(); it.hasNext();) {
			Map.Entry<Long, long[]> e = it.next();
			if (now > e.getValue()[1]) {
				it.remove();
				dropKeys(e.getKey());
			}
		}
	}

	private void dropKeys(long lease) {
		List<String> keys = this.items.values().stream().filter((i) -> i.lease == lease).map((i) -> i.key).toList();
		keys.forEach(this::remove);
	}

	private void handle(HttpExchange x) throws IOException, InterruptedException {
		String body = new String(x.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String path = x.getRequestURI().getPath();
		Map<String, String> q = query(x.getRequestURI().getRawQuery());
		if (path.equals("/api/kv-watch")) {
			watch(x, q);
			return;
		}
		String[] answer = answer(x.getRequestMethod(), path, q, body);
		reply(x, Integer.parseInt(answer[0]), answer[1]);
	}

	private synchronized String[] answer(String method, String path, Map<String, String> q, String body) {
		expire();
		long now = System.nanoTime() / 1_000_000;
		if (path.equals("/api/kv-key")) {
			Item i = this.items.get(q.get("key"));
			return (i == null) ? of(404, "{\"store_revision\":" + this.revision + "}")
					: of(200, i.json().replaceFirst("\\{", "{\"store_revision\":" + this.revision + ","));
		}
		if (path.equals("/api/kv-range")) {
			List<String> l = this.items.values()
				.stream()
				.filter((i) -> i.key.startsWith(q.getOrDefault("prefix", "")))
				.filter((i) -> i.key.compareTo(q.getOrDefault("after", "")) > 0)
				.map(Item::json)
				.toList();
			return of(200, "{\"items\":[" + String.join(",", l) + "],\"truncated\":false,\"store_revision\":"
					+ this.revision + "}");
		}
		if (path.equals("/api/kv-lease")) {
			Matcher m = Pattern.compile("\"ttl_ms\":(\\d+)").matcher(body);
			long ttl = m.find() ? Long.parseLong(m.group(1)) : 3_000;
			this.leases.put(++this.lastLease, new long[] { ttl, now + ttl });
			return of(200, "{\"lease\":" + this.lastLease + ",\"ttl_ms\":" + ttl + "}");
		}
		if (path.startsWith("/api/kv-keep/")) {
			long[] l = this.leases.get(Long.parseLong(path.substring("/api/kv-keep/".length())));
			if (l == null) {
				return of(404, "{}");
			}
			l[1] = now + l[0];
			return of(200, "{\"ttl_ms\":" + l[0] + "}");
		}
		if (path.startsWith("/api/kv-lease-end/")) {
			long id = Long.parseLong(path.substring("/api/kv-lease-end/".length()));
			boolean known = this.leases.remove(id) != null;
			dropKeys(id);
			return of(known ? 200 : 404, "{}");
		}
		if (path.equals("/api/kv-txn")) {
			return transact(body);
		}
		return of(404, "{}");
	}

	private String[] transact(String body) {
		int puts = body.indexOf("\"puts\"");
		int remove = body.indexOf("\"remove\"");
		Matcher m = ENTRY.matcher(body.substring(0, puts));
		while (m.find()) {
			Item i = this.items.get(m.group(1));
			if (Long.parseLong(m.group(2)) != ((i != null) ? i.revision : 0)) {
				return of(412, "{\"items\":[" + ((i != null) ? i.json() : "") + "]}");
			}
		}
		m = ENTRY.matcher(body.substring(puts, remove));
		while (m.find()) {
			long lease = Long.parseLong(m.group(4));
			if (lease != 0 && !this.leases.containsKey(lease)) {
				return of(404, "{}");
			}
			putEncoded(m.group(1), m.group(3), lease);
		}
		m = Pattern.compile("\"([^\"]+)\"").matcher(body.substring(remove + "\"remove\"".length()));
		while (m.find()) {
			remove(m.group(1));
		}
		return of(200, "{\"revision\":" + this.revision + "}");
	}

	private void watch(HttpExchange x, Map<String, String> q) throws IOException, InterruptedException {
		long after = Long.parseLong(q.get("after"));
		long until = System.nanoTime() / 1_000_000 + Long.parseLong(q.getOrDefault("wait_ms", "0"));
		String body;
		synchronized (this) {
			List<String> events;
			while (true) {
				expire();
				events = this.history.stream().filter((e) -> Long.parseLong(e[0]) > after).map((e) -> e[1]).toList();
				long left = until - System.nanoTime() / 1_000_000;
				if (!events.isEmpty() || left <= 0) {
					break;
				}
				wait(Math.min(left, 100));
			}
			body = "{\"events\":[" + String.join(",", events) + "],\"store_revision\":" + this.revision + "}";
		}
		reply(x, 200, body);
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> m = new HashMap<>();
		if (raw != null) {
			for (String p : raw.split("&")) {
				String[] kv = p.split("=", 2);
				m.put(kv[0], URLDecoder.decode((kv.length > 1) ? kv[1] : "", StandardCharsets.UTF_8));
			}
		}
		return m;
	}

	private static String[] of(int status, String body) {
		return new String[] { "" + status, body };
	}

	static void reply(HttpExchange x, int status, String body) throws IOException {
		byte[] b = body.getBytes(StandardCharsets.UTF_8);
		x.getResponseHeaders().add("Content-Type", "application/json");
		x.sendResponseHeaders(status, b.length);
		x.getResponseBody().write(b);
	}

	private record Item(String key, String value, long revision, long created, long lease) {

		String json() {
			return "{\"key\":\"" + this.key + "\",\"value\":\"" + this.value + "\",\"revision\":" + this.revision
					+ ",\"created\":" + this.created + ",\"lease\":" + this.lease + "}";
		}

	}

}
