package io.shallotspur.platform;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import io.shallotspur.exc.InputException;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.SuspectReport;

/**
 * Encodes and decodes the store entries in which VMs publish requests that were running
 * on workers that crashed. Stateless.
 */
final class SuspectReportCodec {

	private static final int HEX = 16;

	private SuspectReportCodec() {
	}

	static ObjectNode encode(List<SuspectReport> reports) {
		ObjectNode value = StoreEntryCodec.JSON.createObjectNode();
		ArrayNode requests = value.putArray("requests");
		for (SuspectReport r : reports) {
			ObjectNode request = requests.addObject().put("fingerprint", Long.toHexString(r.fingerprint()));
			ArrayNode crashes = request.putArray("crashes");
			r.crashes()
				.forEach((c) -> crashes.addObject()
					.put("worker", c.worker())
					.put("age_ms", c.ageMs())
					.put("state", c.state()));
		}
		return value;
	}

	static RegistryChange decode(String key, JsonNode value) throws InputException {
		List<SuspectReport> reports = new ArrayList<>();
		for (JsonNode n : value.path("requests")) {
			StoreEntryFields f = new StoreEntryFields(n, key);
			List<SuspectReport.CrashReport> crashes = new ArrayList<>();
			for (JsonNode crash : n.path("crashes")) {
				StoreEntryFields c = new StoreEntryFields(crash, key);
				crashes
					.add(new SuspectReport.CrashReport(c.text("worker"), c.nonNegativeLong("age_ms"), c.text("state")));
			}
			reports.add(new SuspectReport(fingerprint(f), crashes));
		}
		return new RegistryChange.SuspectsPublished(reports);
	}

	private static long fingerprint(StoreEntryFields f) throws InputException {
		try {
			return Long.parseUnsignedLong(f.text("fingerprint"), HEX);
		}
		catch (NumberFormatException ex) {
			throw f.invalidField("fingerprint");
		}
	}

}
