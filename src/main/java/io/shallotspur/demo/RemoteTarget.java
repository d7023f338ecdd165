package io.shallotspur.demo;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import reactor.netty.http.client.HttpClient;

/**
 * Entry VMs and stand-ins in other processes. Thread-safe.
 */
final class RemoteTarget implements DemoTarget {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private final List<String> callers;

	private final List<String> engines;

	private final List<String> plain;

	private final HttpClient client = HttpClient.newConnection();

	RemoteTarget(List<String> callers, List<String> engines, List<String> plain) {
		this.callers = List.copyOf(callers);
		this.engines = List.copyOf(engines);
		this.plain = List.copyOf(plain);
	}

	@Override
	public List<String> callers() {
		return this.callers;
	}

	@Override
	public Map<String, Integer> runs() {
		Map<String, Integer> all = new HashMap<>();
		for (String a : this.plain) {
			state(a).path("runs")
				.properties()
				.forEach((e) -> all.merge(e.getKey(), e.getValue().asInt(), Integer::sum));
		}
		return all;
	}

	@Override
	public int heldAtEngines() {
		return this.engines.stream()
			.flatMap((a) -> state(a).valueStream())
			.mapToInt((w) -> w.path("active").asInt())
			.sum();
	}

	private JsonNode state(String address) {
		try {
			String s = this.client.get()
				.uri("http://" + address + "/debug/state")
				.responseContent()
				.aggregate()
				.asString()
				.block(TIMEOUT);
			return MAPPER.readTree((s != null) ? s : "{}");
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("The stand-in at " + address + " does not answer with JSON.", ex);
		}
	}

}
