package io.shallotspur.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.SuspectReport;

/**
 * Tests of {@link StoreEntryCodec} with malformed entries from other writers. If such an
 * entry were accepted as a worker, it would receive a share of all requests, and each of
 * them would fail.
 */
class StoreEntryCodecTests {

	private static final long ERA = 2;

	private static final String VALID_WORKER = """
			{"service":"up","address":"10.0.0.9:8080","zone":"hall-a","version":"v1","slots":16,"state":"ready",
			"cold_remaining_ms":0,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],
			"sequence_number":4,"born":1700000000000}""";

	private static final List<String> REQUIRED_FIELDS = List.of("service", "address", "zone", "version", "slots",
			"state", "cold_remaining_ms", "sequence_number");

	private static ObjectNode item(String key, byte[] value) {
		return StoreEntryCodec.JSON.createObjectNode()
			.put("key", key)
			.put("revision", 7)
			.put("value", Base64.getEncoder().encodeToString(value));
	}

	private static ObjectNode item(String key, String value) {
		return item(key, value.getBytes(StandardCharsets.UTF_8));
	}

	private static Optional<RegistryChange> decodeWorker(String value) {
		return StoreEntryCodec.decode(item("servers/i-1", value), ERA);
	}

	private static ObjectNode validWorker() {
		try {
			return (ObjectNode) StoreEntryCodec.JSON.readTree(VALID_WORKER);
		}
		catch (java.io.IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Test
	void decodesWorker() {
		RegistryChange.WorkerUpdated w = (RegistryChange.WorkerUpdated) decodeWorker(VALID_WORKER).orElseThrow();
		Assertions.assertThat(w.worker().stage()).isEqualTo(WorkerStage.DECODE);
		Assertions.assertThat(w.worker().startedAt()).isEqualTo(1_700_000_000_000L);
		Assertions.assertThat(w.worker().slots()).isEqualTo(16);
	}

	@Test
	void readsSuspectsAsTheyWereWritten() {
		List<SuspectReport> reports = List.of(
				new SuspectReport(-1,
						List.of(new SuspectReport.CrashReport("i-1", 0, "OPEN"),
								new SuspectReport.CrashReport("i-2@7", 90, "CONVICTED"))),
				new SuspectReport(5, List.of(), List.of(7L, -8L), List.of()),
				new SuspectReport(7, List.of(), List.of(), List.of(-9L, 9L)));
		ObjectNode value = SuspectReportCodec.encode(reports);
		Assertions.assertThat(StoreEntryCodec.decode(item("suspects/vm/0", value.toString()), ERA))
			.contains(new RegistryChange.SuspectsPublished(reports));
	}

	// Guards against requests that are refused because of a malformed entry.
	@Test
	void rejectsMalformedSuspects() {
		Assertions
			.assertThat(List.of("{\"requests\":[1]}", "{\"requests\":[{\"fingerprint\":\"xyz\"}]}",
					"{\"requests\":[{\"fingerprint\":\"1\",\"crashes\":[{\"worker\":\"i\",\"age_ms\":-1}]}]}"))
			.allSatisfy((v) -> Assertions.assertThat(StoreEntryCodec.decode(item("suspects/vm/0", v), ERA))
				.containsInstanceOf(RegistryChange.EntryUnreadable.class));
	}

	@Test
	void decodesPlainWorkerWithoutStageAndStartTime() {
		ObjectNode n = validWorker();
		n.remove(List.of("stage", "born"));
		RegistryChange.WorkerUpdated w = (RegistryChange.WorkerUpdated) decodeWorker(n.toString()).orElseThrow();
		Assertions.assertThat(w.worker().stage()).isEqualTo(WorkerStage.PLAIN);
		Assertions.assertThat(w.worker().startedAt()).isZero();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "7", "null", "{", "{}", "\"ready\"" })
	void rejectsWorkerThatIsNoObjectWithFields(String value) {
		Assertions.assertThat(decodeWorker(value).orElseThrow())
			.isInstanceOfSatisfying(RegistryChange.EntryUnreadable.class,
					(u) -> Assertions.assertThat(u.worker()).isEqualTo("i-1"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "state:resting", "stage:both", "stage:", "address:10.0.0.9", "address:10.0.0.9:0",
			"address:10.0.0.9:99999", "service:", "zone: " })
	void rejectsWorkerWithInvalidValues(String change) {
		int i = change.indexOf(':');
		ObjectNode n = validWorker().put(change.substring(0, i), change.substring(i + 1));
		Assertions.assertThat(decodeWorker(n.toString()).orElseThrow())
			.isInstanceOf(RegistryChange.EntryUnreadable.class);
	}

	@Test
	void rejectsWorkerThatIsNotTextOrBase64() {
		ObjectNode n = item("servers/i-1", new byte[] { (byte) 0xff, 0, 3 });
		Assertions.assertThat(StoreEntryCodec.decode(n, ERA).orElseThrow())
			.isInstanceOf(RegistryChange.EntryUnreadable.class);
		n.put("value", "*** no base64 ***");
		Assertions.assertThat(StoreEntryCodec.decode(n, ERA).orElseThrow())
			.isInstanceOf(RegistryChange.EntryUnreadable.class);
	}

	// Other writers may also write malformed values under the keys of VMs, the stage
	// leader and statistics.
	@ParameterizedTest
	@ValueSource(strings = { "vms/a", "duties/stages", "stages/w", "figures/up", "op/config", "eras/settled" })
	void rejectsMalformedEntriesOfOtherKinds(String key) {
		for (String value : List.of("{}", "[]", "7", "{", "{\"address\":7,\"vm\":[],\"stage\":\"x\"}")) {
			Assertions.assertThat(StoreEntryCodec.decode(item(key, value), ERA).orElseThrow())
				.isInstanceOfSatisfying(RegistryChange.EntryUnreadable.class,
						(u) -> Assertions.assertThat(u.worker()).isNull());
		}
	}

	// A field is removed, has the wrong type, is negative or huge, or the entry is
	// truncated. The decoder must not throw or register a worker, and must still decode
	// the next entry.
	@Property(tries = 10_000, seed = "17")
	void rejectsCorruptedWorker(@ForAll long seed) {
		Random r = new Random(seed);
		ObjectNode n = validWorker();
		String field = REQUIRED_FIELDS.get(r.nextInt(REQUIRED_FIELDS.size()));
		String corrupted = corrupt(n, field, r);
		List<RegistryChange> l = new ArrayList<>();
		for (JsonNode i : List.of(item("servers/i-1", corrupted), item("servers/i-2", VALID_WORKER))) {
			StoreEntryCodec.decode(i, ERA).ifPresent(l::add);
		}
		Assertions.assertThat(l.get(0)).isInstanceOf(RegistryChange.EntryUnreadable.class);
		Assertions.assertThat(l.get(1)).isInstanceOf(RegistryChange.WorkerUpdated.class);
	}

	private static String corrupt(ObjectNode n, String field, Random r) {
		boolean number = n.path(field).isNumber();
		JsonNodeFactory f = JsonNodeFactory.instance;
		switch (r.nextInt(7)) {
			case 0 -> n.remove(field);
			case 1 -> n.putNull(field);
			case 2 -> n.putArray(field).add(r.nextInt());
			case 3 -> n.set(field, number ? f.textNode("x" + r.nextInt()) : f.numberNode(r.nextLong()));
			case 4 -> n.set(field, number ? f.numberNode(-1L - r.nextInt(1_000)) : f.booleanNode(r.nextBoolean()));
			case 5 -> n.set(field, number ? f.numberNode(1e30 * (1 + r.nextDouble())) : f.textNode(" "));
			default -> {
				return n.toString().substring(0, r.nextInt(n.toString().length()));
			}
		}
		return n.toString();
	}

}
