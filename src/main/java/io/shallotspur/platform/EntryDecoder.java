package io.shallotspur.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.OutputLengthModel;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.StorePosition;
import io.shallotspur.route.RouteTable;

/**
 * Decodes items and events of the platform's store. Stateless. Other writers may leave
 * entries there that cannot be read: a worker's names no worker to use, of any other what
 * was known before stays in force.
 */
final class EntryDecoder {

	static final ObjectMapper JSON = new ObjectMapper();

	private EntryDecoder() {
	}

	/**
	 * Decodes an item or an event.
	 * @param item the item or event
	 * @param era the era of the store that it comes from
	 * @return what it says, {@link RegistryChange.EntryUnreadable} if it cannot be read, or
	 * empty if it is of no concern here
	 */
	static Optional<RegistryChange> decode(JsonNode item, long era) {
		String key = item.path("key").asText();
		try {
			return decode(key, item, era);
		}
		catch (InputException ex) {
			return Optional.of(new RegistryChange.EntryUnreadable(key, workerId(key), ex.getMessage()));
		}
	}

	private static @Nullable String workerId(String key) {
		return key.startsWith(Names.WORKER_PREFIX) ? key.substring(Names.WORKER_PREFIX.length()) : null;
	}

	private static Optional<RegistryChange> decode(String key, JsonNode item, long era) throws InputException {
		boolean gone = item.path("tombstone").asBoolean(false);
		if (key.startsWith(Names.WORKER_PREFIX)) {
			String id = key.substring(Names.WORKER_PREFIX.length());
			return Optional.of(gone ? new RegistryChange.WorkerRemoved(id) : worker(id, value(item)));
		}
		if (key.startsWith(Names.VM_PREFIX)) {
			return Optional.of(gone ? new RegistryChange.VmRemoved(key) : vm(key, value(item)));
		}
		if (key.equals(Names.DUTY_KEY)) {
			return Optional.of(gone ? new RegistryChange.LeadershipVacant() : duty(item, era));
		}
		if (key.startsWith(Names.STAGE_PREFIX)) {
			String id = key.substring(Names.STAGE_PREFIX.length());
			return Optional.of(gone ? new RegistryChange.StageChangeWithdrawn(id)
					: new RegistryChange.StageChangeAnnounced(id, marked(key, value(item))));
		}
		if (key.startsWith(Names.FIGURES_PREFIX) && !gone) {
			String upstream = key.substring(Names.FIGURES_PREFIX.length());
			return Optional.of(new RegistryChange.EngineStatsUpdated(upstream, figures(key, value(item)), point(item, era)));
		}
		if (key.equals(Names.SETTLED_KEY) && !gone) {
			return Optional.of(new RegistryChange.EraSettled(new EntryFields(value(item), key).count("era")));
		}
		if (key.equals(Names.CONFIG_KEY) && !gone) {
			return Optional.of(new RegistryChange.ConfigUpdated(configuration(item)));
		}
		return Optional.empty();
	}

	static RouteTable configuration(JsonNode item) throws InputException {
		return ConfigDecoder.decode(value(item));
	}

	private static JsonNode value(JsonNode item) throws InputException {
		try {
			return JSON.readTree(Base64.getDecoder().decode(item.path("value").asText()));
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new InputException("The value is not JSON.", item.path("key").asText(), ex);
		}
	}

	private static WorkerStage marked(String key, JsonNode v) throws InputException {
		EntryFields f = new EntryFields(v, key);
		return stage(f.text("stage")).orElseThrow(() -> f.unusable("stage"));
	}

	private static RegistryChange worker(String id, JsonNode v) throws InputException {
		EntryFields f = new EntryFields(v, Names.WORKER_PREFIX + id);
		Endpoint e = f.endpoint("address");
		f.text("version");
		f.count("sequence_number");
		boolean leaving = switch (f.text("state")) {
			case "ready" -> false;
			case "draining" -> true;
			default -> throw f.unusable("state");
		};
		WorkerStage stage = f.has("stage") ? stage(f.text("stage")).orElseThrow(() -> f.unusable("stage"))
				: WorkerStage.PLAIN;
		long startedAt = f.has(Names.STARTED_AT) ? f.count(Names.STARTED_AT) : 0;
		return new RegistryChange.WorkerUpdated(new WorkerInfo(id, f.text("service"), e.host(), e.port(), f.text("zone"),
				f.positive("slots"), stage, leaving, f.count("cold_remaining_ms"), startedAt));
	}

	static RegistryChange.LeaderElected duty(JsonNode item, long era) throws InputException {
		EntryFields f = new EntryFields(value(item), Names.DUTY_KEY);
		return new RegistryChange.LeaderElected(f.text("vm"), point(item, era));
	}

	static StorePosition point(JsonNode item, long era) {
		return new StorePosition(era, item.path("revision").asLong());
	}

	private static EngineStatistics figures(String key, JsonNode v) throws InputException {
		EntryFields f = new EntryFields(v, key);
		return new EngineStatistics(f.positive("samples"), f.amount("prompt_tokens"), f.amount("answer_tokens"),
				f.amount("reserved_tokens"), f.amount("prefill_token_ms"), f.number("added_token_ms"),
				f.amount("answer_token_ms"),
				new OutputLengthModel(f.number("length_intercept"), f.number("length_slope"), f.amount("length_deviation")));
	}

	static String encode(EngineStatistics f) {
		return encode(JSON.createObjectNode()
			.put("samples", f.samples())
			.put("prompt_tokens", f.promptTokens())
			.put("answer_tokens", f.outputTokens())
			.put("reserved_tokens", f.reservedTokens())
			.put("prefill_token_ms", f.prefillTokenMs())
			.put("added_token_ms", f.marginalTokenMs())
			.put("answer_token_ms", f.outputTokenMs())
			.put("length_intercept", f.lengthModel().intercept())
			.put("length_slope", f.lengthModel().slope())
			.put("length_deviation", f.lengthModel().deviation()));
	}

	static Optional<WorkerStage> stage(String s) {
		return switch (s) {
			case "prefill" -> Optional.of(WorkerStage.PREFILL);
			case "decode" -> Optional.of(WorkerStage.DECODE);
			default -> Optional.empty();
		};
	}

	private static RegistryChange vm(String key, JsonNode v) throws InputException {
		EntryFields f = new EntryFields(v, key);
		return new RegistryChange.VmUpdated(new EntryVm(key, f.endpoint("address").toString(), f.text("region"),
				f.text("hall"), f.amount("cores"), f.count("crowded") > 0));
	}

	static String encode(WorkerStage stage) {
		return stage.name().toLowerCase(Locale.ROOT);
	}

	static String encode(EntryVm vm) {
		return encode(JSON.createObjectNode()
			.put("address", vm.address())
			.put("region", vm.region())
			.put("hall", vm.hall())
			.put("cores", vm.cores())
			.put("crowded", vm.overloaded() ? 1 : 0));
	}

	static String encode(ObjectNode n) {
		return Base64.getEncoder().encodeToString(n.toString().getBytes(StandardCharsets.UTF_8));
	}

}
