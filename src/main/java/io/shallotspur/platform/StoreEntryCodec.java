package io.shallotspur.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

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
import io.shallotspur.serving.LoadLevel;

/**
 * Decodes items and watch events of the platform's store, and encodes the entries that
 * this system writes. Stateless. Other writers may leave malformed entries there. A
 * malformed worker entry registers no worker; a malformed entry of another kind leaves
 * the last valid value in effect.
 */
final class StoreEntryCodec {

	static final ObjectMapper JSON = new ObjectMapper();

	private StoreEntryCodec() {
	}

	/**
	 * Decodes an item or an event.
	 * @param item the item or event
	 * @param era the era of the store when it sent the response: how often it had been
	 * restored from a snapshot, by its own count
	 * @return the change, {@link RegistryChange.EntryUnreadable} if the entry is
	 * malformed, or empty if the key is not used by entry VMs or its removal has no
	 * effect on them
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
		return key.startsWith(PlatformNames.WORKER_PREFIX) ? key.substring(PlatformNames.WORKER_PREFIX.length()) : null;
	}

	private static Optional<RegistryChange> decode(String key, JsonNode item, long era) throws InputException {
		boolean deleted = item.path("tombstone").asBoolean(false);
		if (key.startsWith(PlatformNames.WORKER_PREFIX)) {
			String id = key.substring(PlatformNames.WORKER_PREFIX.length());
			return Optional.of(deleted ? new RegistryChange.WorkerRemoved(id) : worker(id, value(item)));
		}
		if (key.startsWith(PlatformNames.VM_PREFIX)) {
			return Optional.of(deleted ? new RegistryChange.VmRemoved(key) : vm(key, value(item)));
		}
		if (key.equals(PlatformNames.STAGE_LEADER_KEY)) {
			return Optional.of(deleted ? new RegistryChange.LeadershipVacant() : leader(item, era));
		}
		if (key.startsWith(PlatformNames.STAGE_CHANGE_PREFIX)) {
			String id = key.substring(PlatformNames.STAGE_CHANGE_PREFIX.length());
			return Optional.of(deleted ? new RegistryChange.StageChangeWithdrawn(id)
					: new RegistryChange.StageChangeAnnounced(id, markedStage(key, value(item))));
		}
		if (key.startsWith(PlatformNames.ENGINE_STATS_PREFIX) && !deleted) {
			String upstream = key.substring(PlatformNames.ENGINE_STATS_PREFIX.length());
			return Optional.of(new RegistryChange.EngineStatsUpdated(upstream, engineStats(key, value(item)),
					position(item, era)));
		}
		if (key.startsWith(PlatformNames.VERSIONS_PREFIX) && !deleted) {
			return Optional.of(versions(item, era));
		}
		if (key.startsWith(PlatformNames.SUSPECTS_PREFIX) && !deleted) {
			return Optional.of(SuspectReportCodec.decode(key, value(item)));
		}
		if (key.equals(PlatformNames.SETTLED_ERA_KEY) && !deleted) {
			return Optional
				.of(new RegistryChange.EraSettled(new StoreEntryFields(value(item), key).nonNegativeLong("era")));
		}
		if (key.equals(PlatformNames.CONFIG_KEY) && !deleted) {
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

	private static WorkerStage markedStage(String key, JsonNode v) throws InputException {
		StoreEntryFields f = new StoreEntryFields(v, key);
		return parseStage(f.text("stage")).orElseThrow(() -> f.invalidField("stage"));
	}

	private static RegistryChange worker(String id, JsonNode v) throws InputException {
		StoreEntryFields f = new StoreEntryFields(v, PlatformNames.WORKER_PREFIX + id);
		Endpoint e = f.endpoint("address");
		f.nonNegativeLong("sequence_number");
		boolean draining = switch (f.text("state")) {
			case "ready" -> false;
			case "draining" -> true;
			default -> throw f.invalidField("state");
		};
		WorkerStage stage = f.has("stage") ? parseStage(f.text("stage")).orElseThrow(() -> f.invalidField("stage"))
				: WorkerStage.PLAIN;
		long startedAt = f.has(PlatformNames.STARTED_AT) ? f.nonNegativeLong(PlatformNames.STARTED_AT) : 0;
		return new RegistryChange.WorkerUpdated(
				new WorkerInfo(id, f.text("service"), e.host(), e.port(), f.text("zone"), f.positiveInt("slots"), stage,
						draining, f.nonNegativeLong("cold_remaining_ms"), startedAt, f.text("version")));
	}

	static RegistryChange.LeaderElected leader(JsonNode item, long era) throws InputException {
		StoreEntryFields f = new StoreEntryFields(value(item), PlatformNames.STAGE_LEADER_KEY);
		return new RegistryChange.LeaderElected(f.text("vm"), position(item, era));
	}

	static StorePosition position(JsonNode item, long era) {
		return new StorePosition(era, item.path("revision").asLong());
	}

	static RegistryChange.VersionsAnnounced versions(JsonNode item, long era) throws InputException {
		String key = item.path("key").asText();
		JsonNode v = value(item).path("versions");
		if (!v.isArray()) {
			throw new InputException("The entry has no list of versions.", key);
		}
		Set<String> versions = new HashSet<>();
		v.forEach((n) -> versions.add(n.asText()));
		String upstream = key.substring(PlatformNames.VERSIONS_PREFIX.length());
		return new RegistryChange.VersionsAnnounced(upstream, versions, position(item, era));
	}

	static String encode(Set<String> versions) {
		ObjectNode n = JSON.createObjectNode();
		versions.stream().sorted().forEach(n.putArray("versions")::add);
		return encode(n);
	}

	private static EngineStatistics engineStats(String key, JsonNode v) throws InputException {
		StoreEntryFields f = new StoreEntryFields(v, key);
		return new EngineStatistics(f.positiveInt("samples"), f.positiveDouble("prompt_tokens"),
				f.positiveDouble("answer_tokens"), f.positiveDouble("reserved_tokens"),
				f.positiveDouble("prefill_token_ms"), f.finiteDouble("added_token_ms"),
				f.positiveDouble("answer_token_ms"), new OutputLengthModel(f.finiteDouble("length_intercept"),
						f.finiteDouble("length_slope"), f.positiveDouble("length_deviation")));
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

	static Optional<WorkerStage> parseStage(String s) {
		return switch (s) {
			case "prefill" -> Optional.of(WorkerStage.PREFILL);
			case "decode" -> Optional.of(WorkerStage.DECODE);
			default -> Optional.empty();
		};
	}

	private static RegistryChange vm(String key, JsonNode v) throws InputException {
		StoreEntryFields f = new StoreEntryFields(v, key);
		return new RegistryChange.VmUpdated(new EntryVm(key, f.endpoint("address").toString(), f.text("region"),
				f.text("hall"), f.positiveDouble("cores"), LoadLevel.of(f.nonNegativeLong("crowded")),
				f.has("tunnel") ? f.endpoint("tunnel").toString() : "",
				f.has("peers") ? f.endpoint("peers").toString() : ""));
	}

	static String encode(WorkerStage stage) {
		return stage.name().toLowerCase(Locale.ROOT);
	}

	static String encode(EntryVm vm) {
		ObjectNode n = JSON.createObjectNode()
			.put("address", vm.address())
			.put("region", vm.region())
			.put("hall", vm.hall())
			.put("cores", vm.cores())
			.put("crowded", vm.loadLevel().ordinal());
		if (!vm.tunnelAddress().isEmpty()) {
			n.put("tunnel", vm.tunnelAddress());
		}
		if (!vm.peerAddress().isEmpty()) {
			n.put("peers", vm.peerAddress());
		}
		return encode(n);
	}

	static String encode(ObjectNode n) {
		return Base64.getEncoder().encodeToString(n.toString().getBytes(StandardCharsets.UTF_8));
	}

}
