package io.shallotspur.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tinylog.Logger;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;
import io.shallotspur.gateway.EngineFigures;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.RegistryChange;

/**
 * Decodes items and events of the platform's store. Stateless. An entry that cannot be
 * read is left aside with a line in the log: what was known before stays in force.
 */
final class EntryDecoder {

	static final ObjectMapper JSON = new ObjectMapper();

	private EntryDecoder() {
	}

	static Optional<RegistryChange> decode(JsonNode item) {
		String key = item.path("key").asText();
		try {
			return decode(key, item);
		}
		catch (InputException | IOException | IllegalArgumentException ex) {
			Logger.warn("[platform] entry left aside key={} revision={} seen=\"{}\"", key,
					item.path("revision").asLong(), ex.toString());
			return Optional.empty();
		}
	}

	private static Optional<RegistryChange> decode(String key, JsonNode item) throws InputException, IOException {
		boolean gone = item.path("tombstone").asBoolean(false);
		if (key.startsWith(Names.WORKER_PREFIX)) {
			String id = key.substring(Names.WORKER_PREFIX.length());
			return Optional.of(gone ? new RegistryChange.WorkerGone(id) : worker(id, value(item)));
		}
		if (key.startsWith(Names.VM_PREFIX)) {
			return Optional.of(gone ? new RegistryChange.VmGone(key) : vm(key, value(item)));
		}
		if (key.equals(Names.DUTY_KEY)) {
			return Optional.of(gone ? new RegistryChange.DutyFree() : duty(item));
		}
		if (key.startsWith(Names.STAGE_PREFIX)) {
			String id = key.substring(Names.STAGE_PREFIX.length());
			return Optional.of(gone ? new RegistryChange.StageUnmarked(id)
					: new RegistryChange.StageMarked(id, stage(value(item).path("stage").asText())));
		}
		if (key.startsWith(Names.FIGURES_PREFIX) && !gone) {
			String upstream = key.substring(Names.FIGURES_PREFIX.length());
			return Optional
				.of(new RegistryChange.FiguresSeen(upstream, figures(value(item)), item.path("revision").asLong()));
		}
		if (key.equals(Names.CONFIG_KEY) && !gone) {
			return Optional.of(new RegistryChange.Configured(ConfigDecoder.decode(value(item))));
		}
		return Optional.empty();
	}

	private static JsonNode value(JsonNode item) throws IOException {
		return JSON.readTree(Base64.getDecoder().decode(item.path("value").asText()));
	}

	private static RegistryChange worker(String id, JsonNode v) throws InputException {
		Endpoint e = Endpoint.parse(v.path("address").asText())
			.orElseThrow(() -> new InputException("A worker has no address.", Names.WORKER_PREFIX + id));
		boolean leaving = !v.path("state").asText("ready").equals("ready");
		return new RegistryChange.WorkerSeen(new WorkerInfo(id, v.path("service").asText(), e.host(), e.port(),
				v.path("zone").asText(), v.path("slots").asInt(1), stage(v.path("stage").asText()), leaving,
				v.path("cold_remaining_ms").asLong()));
	}

	static RegistryChange.DutyHeld duty(JsonNode item) throws IOException {
		return new RegistryChange.DutyHeld(value(item).path("vm").asText(), item.path("revision").asLong());
	}

	private static EngineFigures figures(JsonNode v) throws InputException {
		EngineFigures f = new EngineFigures(v.path("samples").asInt(), v.path("prompt_tokens").asDouble(),
				v.path("answer_tokens").asDouble(), v.path("reserved_tokens").asDouble(),
				v.path("prefill_token_ms").asDouble(), v.path("answer_token_ms").asDouble());
		boolean usable = f.samples() > 0 && f.promptTokens() > 0 && f.answerTokens() > 0 && f.reservedTokens() > 0
				&& f.prefillTokenMs() > 0 && f.answerTokenMs() > 0;
		if (!usable) {
			throw new InputException("Figures are missing or not positive.", Names.FIGURES_PREFIX);
		}
		return f;
	}

	static String encode(EngineFigures f) {
		return encode(JSON.createObjectNode()
			.put("samples", f.samples())
			.put("prompt_tokens", f.promptTokens())
			.put("answer_tokens", f.answerTokens())
			.put("reserved_tokens", f.reservedTokens())
			.put("prefill_token_ms", f.prefillTokenMs())
			.put("answer_token_ms", f.answerTokenMs()));
	}

	static WorkerStage stage(String s) {
		return switch (s) {
			case "prefill" -> WorkerStage.PREFILL;
			case "decode" -> WorkerStage.DECODE;
			default -> WorkerStage.PLAIN;
		};
	}

	private static RegistryChange vm(String key, JsonNode v) {
		return new RegistryChange.VmSeen(key, v.path("address").asText(), v.path("hall").asText());
	}

	static String encode(WorkerStage stage) {
		return stage.name().toLowerCase(Locale.ROOT);
	}

	static String encode(RegistryChange.VmSeen vm) {
		return encode(JSON.createObjectNode().put("address", vm.address()).put("hall", vm.hall()));
	}

	static String encode(ObjectNode n) {
		return Base64.getEncoder().encodeToString(n.toString().getBytes(StandardCharsets.UTF_8));
	}

}
