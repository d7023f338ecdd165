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

/**
 * Tests of {@link EntryDecoder} with entries of other writers. Taken for a worker, such
 * an entry would get a part of all requests, and each of them would fail.
 */
class EntryDecoderTests {

	private static final long ERA = 2;

	private static final String GOOD = """
			{"service":"up","address":"10.0.0.9:8080","zone":"hall-a","version":"v1","slots":16,"state":"ready",
			"cold_remaining_ms":0,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}],
			"sequence_number":4,"born":1700000000000}""";

	private static final List<String> NEEDED = List.of("service", "address", "zone", "version", "slots", "state",
			"cold_remaining_ms", "sequence_number");

	private static ObjectNode item(String key, byte[] value) {
		return EntryDecoder.JSON.createObjectNode()
			.put("key", key)
			.put("revision", 7)
			.put("value", Base64.getEncoder().encodeToString(value));
	}

	private static ObjectNode item(String key, String value) {
		return item(key, value.getBytes(StandardCharsets.UTF_8));
	}

	private static Optional<RegistryChange> worker(String value) {
		return EntryDecoder.decode(item("servers/i-1", value), ERA);
	}

	private static ObjectNode good() {
		try {
			return (ObjectNode) EntryDecoder.JSON.readTree(GOOD);
		}
		catch (java.io.IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Test
	void readsAWorker() {
		RegistryChange.WorkerUpdated w = (RegistryChange.WorkerUpdated) worker(GOOD).orElseThrow();
		Assertions.assertThat(w.worker().stage()).isEqualTo(WorkerStage.DECODE);
		Assertions.assertThat(w.worker().startedAt()).isEqualTo(1_700_000_000_000L);
		Assertions.assertThat(w.worker().slots()).isEqualTo(16);
	}

	@Test
	void readsAPlainWorkerWithoutStageAndStart() {
		ObjectNode n = good();
		n.remove(List.of("stage", "born"));
		RegistryChange.WorkerUpdated w = (RegistryChange.WorkerUpdated) worker(n.toString()).orElseThrow();
		Assertions.assertThat(w.worker().stage()).isEqualTo(WorkerStage.PLAIN);
		Assertions.assertThat(w.worker().startedAt()).isZero();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "[]", "7", "null", "{", "{}", "\"ready\"" })
	void noWorkerFromWhatIsNoEntry(String value) {
		Assertions.assertThat(worker(value).orElseThrow())
			.isInstanceOfSatisfying(RegistryChange.EntryUnreadable.class,
					(u) -> Assertions.assertThat(u.worker()).isEqualTo("i-1"));
	}

	@ParameterizedTest
	@ValueSource(strings = { "state:resting", "stage:both", "stage:", "address:10.0.0.9", "address:10.0.0.9:0",
			"address:10.0.0.9:99999", "service:", "zone: " })
	void noWorkerFromWordsThatAreNotKnown(String change) {
		int i = change.indexOf(':');
		ObjectNode n = good().put(change.substring(0, i), change.substring(i + 1));
		Assertions.assertThat(worker(n.toString()).orElseThrow()).isInstanceOf(RegistryChange.EntryUnreadable.class);
	}

	@Test
	void noWorkerFromBytesThatAreNoText() {
		ObjectNode n = item("servers/i-1", new byte[] { (byte) 0xff, 0, 3 });
		Assertions.assertThat(EntryDecoder.decode(n, ERA).orElseThrow()).isInstanceOf(RegistryChange.EntryUnreadable.class);
		n.put("value", "*** no base64 ***");
		Assertions.assertThat(EntryDecoder.decode(n, ERA).orElseThrow()).isInstanceOf(RegistryChange.EntryUnreadable.class);
	}

	// Other writers also leave what they like under the keys of VMs, duties and figures.
	@ParameterizedTest
	@ValueSource(strings = { "vms/a", "duties/stages", "stages/w", "figures/up", "op/config", "eras/settled" })
	void noNewsFromOtherEntriesThatCannotBeRead(String key) {
		for (String value : List.of("{}", "[]", "7", "{", "{\"address\":7,\"vm\":[],\"stage\":\"x\"}")) {
			Assertions.assertThat(EntryDecoder.decode(item(key, value), ERA).orElseThrow())
				.isInstanceOfSatisfying(RegistryChange.EntryUnreadable.class,
						(u) -> Assertions.assertThat(u.worker()).isNull());
		}
	}

	// One field is taken away, has another type, is negative or huge, or the entry is cut
	// off: nothing is thrown, no worker comes of a bad entry, and a good one beside it
	// stays usable.
	@Property(tries = 10_000, seed = "17")
	void noWorkerFromASpoiltEntry(@ForAll long seed) {
		Random r = new Random(seed);
		ObjectNode n = good();
		String field = NEEDED.get(r.nextInt(NEEDED.size()));
		String bad = spoil(n, field, r);
		List<RegistryChange> l = new ArrayList<>();
		for (JsonNode i : List.of(item("servers/i-1", bad), item("servers/i-2", GOOD))) {
			EntryDecoder.decode(i, ERA).ifPresent(l::add);
		}
		Assertions.assertThat(l.get(0)).isInstanceOf(RegistryChange.EntryUnreadable.class);
		Assertions.assertThat(l.get(1)).isInstanceOf(RegistryChange.WorkerUpdated.class);
	}

	private static String spoil(ObjectNode n, String field, Random r) {
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
