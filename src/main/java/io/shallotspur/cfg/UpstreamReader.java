package io.shallotspur.cfg;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.util.toml.TomlTable;

/**
 * Reads the upstreams of a settings file. Stateless.
 */
final class UpstreamReader {

	private static final int MAX = 1_000_000;

	private UpstreamReader() {
	}

	static List<UpstreamSection> read(List<TomlTable> tables) {
		return read(tables, (t, w) -> {
		});
	}

	static List<UpstreamSection> read(List<TomlTable> tables, WorkerKeys more) {
		List<UpstreamSection> l = new ArrayList<>();
		Set<String> names = new HashSet<>();
		Set<String> ids = new HashSet<>();
		for (TomlTable t : tables) {
			UpstreamSection u = upstream(t, ids, more);
			if (!names.add(u.name())) {
				t.problem("name", "\"" + u.name() + "\" is there twice", "a name of its own for each upstream");
			}
			l.add(u);
		}
		return l;
	}

	private static UpstreamSection upstream(TomlTable t, Set<String> ids, WorkerKeys more) {
		String name = t.text("name");
		boolean model = t.word("kind", null, List.of("model", "plain")).equals("model");
		boolean fencing = t.flag("checks_fencing", false);
		List<Worker> workers = new ArrayList<>();
		for (TomlTable w : t.tables("worker")) {
			Worker k = worker(w, name, model, more);
			if (!ids.add(k.id())) {
				w.problem("id", "\"" + k.id() + "\" is there twice", "an id of its own for each worker");
			}
			workers.add(k);
		}
		t.finish();
		return new UpstreamSection(name, model, fencing, workers);
	}

	private static Worker worker(TomlTable w, String upstream, boolean model, WorkerKeys more) {
		String id = w.text("id");
		String hall = w.text("hall");
		String address = address(w);
		WorkerRole role = role(w, model);
		Worker k = switch (role) {
			case PREFILL -> new Worker(id, upstream, hall, role, address, 0,
					(int) w.whole("cache_tokens", 0, Integer.MAX_VALUE), w.whole("kv_ttl_ms", 1, MAX), 0, 0);
			case DECODE -> new Worker(id, upstream, hall, role, address, (int) w.whole("slots", 1, 10_000), 0, 0,
					w.number("link_mb_per_s", 0.001, MAX), w.number("kv_mb_per_token", 0.000001, MAX));
			case PLAIN ->
				new Worker(id, upstream, hall, role, address, (int) w.whole("concurrency", 1, 10_000), 0, 0, 0, 0);
		};
		more.read(w, k);
		w.finish();
		return k;
	}

	private static WorkerRole role(TomlTable w, boolean model) {
		if (!model) {
			return WorkerRole.PLAIN;
		}
		return w.word("role", null, List.of("prefill", "decode")).equals("decode") ? WorkerRole.DECODE
				: WorkerRole.PREFILL;
	}

	private static String address(TomlTable w) {
		String a = w.text("address");
		if (!a.isEmpty() && Endpoint.parse(a).isEmpty()) {
			w.problem("address", "\"" + a + "\" is not an address", "host:port");
		}
		return a;
	}

	/**
	 * Takes keys of a worker that only some files have.
	 */
	@FunctionalInterface
	interface WorkerKeys {

		void read(TomlTable table, Worker worker);

	}

}
