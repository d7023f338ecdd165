package io.shallotspur.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.shallotspur.exc.InputException;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.util.toml.Problems;
import io.shallotspur.util.toml.TomlTable;

/**
 * Reads the fleet of a replay (TOML). Reading is strict, and all problems of a file are
 * reported together. Stateless and thread-safe.
 */
final class FleetFile {

	private static final int MAX = 1_000_000_000;

	/**
	 * Rates and costs are over 0.
	 */
	private static final double LEAST = 1e-9;

	private FleetFile() {
	}

	static Fleet read(Path file) throws InputException {
		Problems problems = new Problems(file.toString());
		return read(TomlTable.parse(file, problems), problems);
	}

	static Fleet parse(String text, String name) throws InputException {
		Problems problems = new Problems(name);
		return read(TomlTable.parse(text, problems), problems);
	}

	private static Fleet read(TomlTable top, Problems problems) throws InputException {
		List<Fleet.UpstreamSpec> upstreams = new ArrayList<>();
		Set<String> names = new HashSet<>();
		Set<String> ids = new HashSet<>();
		for (TomlTable t : top.tables("upstream")) {
			Fleet.UpstreamSpec u = readUpstream(t, ids);
			if (!names.add(u.name())) {
				t.problem("name", "is there twice: " + u.name(), "names that are unique in the file");
			}
			upstreams.add(u);
		}
		if (upstreams.isEmpty()) {
			top.problem("upstream", "there is none", "[[upstream]], at least one");
		}
		top.finish();
		if (!problems.isEmpty()) {
			throw new InputException(problems.toString(), problems.file());
		}
		return new Fleet(upstreams);
	}

	private static Fleet.UpstreamSpec readUpstream(TomlTable t, Set<String> ids) {
		String name = t.text("name");
		boolean model = "model".equals(t.word("kind", null, List.of("model", "plain")));
		List<Fleet.WorkerSpec> workers = new ArrayList<>();
		for (TomlTable w : t.tables("worker")) {
			Fleet.WorkerSpec spec = model ? readModelWorker(w, name) : readPlainWorker(w, name);
			if (!ids.add(spec.worker().id())) {
				w.problem("id", "is there twice: " + spec.worker().id(), "ids that are unique in the file");
			}
			workers.add(spec);
		}
		if (workers.isEmpty()) {
			t.problem("worker", "there is none", "[[upstream.worker]], at least one");
		}
		t.finish();
		return new Fleet.UpstreamSpec(name, model, workers);
	}

	private static Fleet.WorkerSpec readModelWorker(TomlTable t, String upstream) {
		String id = t.text("id");
		String hall = t.text("hall");
		boolean prefill = "prefill".equals(t.word("role", null, List.of("prefill", "decode")));
		Fleet.WorkerSpec spec = prefill ? readPrefillWorker(t, id, upstream, hall)
				: readDecodeWorker(t, id, upstream, hall);
		t.finish();
		return spec;
	}

	private static Fleet.WorkerSpec readPrefillWorker(TomlTable t, String id, String upstream, String hall) {
		double msPerToken = t.number("prefill_ms_per_token", LEAST, MAX);
		int cacheTokens = (int) t.whole("cache_tokens", 0, MAX);
		long ttl = t.whole("kv_ttl_ms", 1, MAX);
		Worker w = new Worker(id, upstream, hall, WorkerRole.PREFILL, "", 0, cacheTokens, ttl, 0, 0);
		return new Fleet.WorkerSpec(w, msPerToken, 0, 0, 0);
	}

	private static Fleet.WorkerSpec readDecodeWorker(TomlTable t, String id, String upstream, String hall) {
		int slots = (int) t.whole("slots", 1, MAX);
		double base = t.number("step_base_ms", 0, MAX);
		double each = t.number("step_ms_per_request", 0, MAX);
		double link = t.number("link_mb_per_s", LEAST, MAX);
		double kv = t.number("kv_mb_per_token", LEAST, MAX);
		if (base + each <= 0) {
			t.problem("step_base_ms", "is 0 like step_ms_per_request", "steps that take time");
		}
		Worker w = new Worker(id, upstream, hall, WorkerRole.DECODE, "", slots, 0, 0, link, kv);
		return new Fleet.WorkerSpec(w, 0, base, each, 0);
	}

	private static Fleet.WorkerSpec readPlainWorker(TomlTable t, String upstream) {
		String id = t.text("id");
		String hall = t.text("hall");
		int concurrency = (int) t.whole("concurrency", 1, MAX);
		double service = t.number("service_ms", LEAST, MAX);
		t.finish();
		Worker w = new Worker(id, upstream, hall, WorkerRole.PLAIN, "", concurrency, 0, 0, 0, 0);
		return new Fleet.WorkerSpec(w, 0, 0, 0, service);
	}

}
