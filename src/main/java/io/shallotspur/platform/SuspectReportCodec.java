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
 * on workers that crashed, and parts of their prompts. Stateless.
 */
final class SuspectReportCodec {

	private static final int HEX = 16;

	private static final String REQUESTS = "requests";

	private static final String PARTS = "parts";

	private static final String FINGERPRINT = "fingerprint";

	private static final String CRASHES = "crashes";

	private static final String CUSTOMERS = "customers";

	private SuspectReportCodec() {
	}

	static ObjectNode encode(List<SuspectReport> reports) {
		ObjectNode value = StoreEntryCodec.JSON.createObjectNode();
		ArrayNode requests = value.putArray(REQUESTS);
		// VMs of earlier versions read the requests only, and take each for a whole one.
		ArrayNode parts = value.putArray(PARTS);
		for (SuspectReport r : reports) {
			boolean isPart = !r.customers().isEmpty();
			ObjectNode n = (isPart ? parts : requests).addObject().put(FINGERPRINT, Long.toHexString(r.fingerprint()));
			ArrayNode crashes = n.putArray(CRASHES);
			r.crashes()
				.forEach((c) -> crashes.addObject()
					.put("worker", c.worker())
					.put("age_ms", c.ageMs())
					.put("state", c.state()));
			putFingerprints(n, PARTS, r.parts());
			putFingerprints(n, CUSTOMERS, r.customers());
		}
		return value;
	}

	private static void putFingerprints(ObjectNode n, String field, List<Long> fingerprints) {
		if (!fingerprints.isEmpty()) {
			ArrayNode values = n.putArray(field);
			fingerprints.forEach((f) -> values.add(Long.toHexString(f)));
		}
	}

	static RegistryChange decode(String key, JsonNode value) throws InputException {
		List<SuspectReport> reports = new ArrayList<>();
		for (JsonNode n : value.path(REQUESTS)) {
			reports.add(report(n, key));
		}
		for (JsonNode n : value.path(PARTS)) {
			SuspectReport r = report(n, key);
			if (r.customers().isEmpty()) {
				throw new StoreEntryFields(n, key).invalidField(CUSTOMERS);
			}
			reports.add(r);
		}
		return new RegistryChange.SuspectsPublished(reports);
	}

	private static SuspectReport report(JsonNode n, String key) throws InputException {
		StoreEntryFields f = new StoreEntryFields(n, key);
		List<SuspectReport.CrashReport> crashes = new ArrayList<>();
		for (JsonNode crash : n.path(CRASHES)) {
			StoreEntryFields c = new StoreEntryFields(crash, key);
			crashes.add(new SuspectReport.CrashReport(c.text("worker"), c.nonNegativeLong("age_ms"), c.text("state")));
		}
		return new SuspectReport(fingerprint(f.text(FINGERPRINT), FINGERPRINT, f), crashes, fingerprints(n, PARTS, f),
				fingerprints(n, CUSTOMERS, f));
	}

	private static List<Long> fingerprints(JsonNode n, String field, StoreEntryFields f) throws InputException {
		List<Long> fingerprints = new ArrayList<>();
		for (JsonNode value : n.path(field)) {
			fingerprints.add(fingerprint(value.asText(), field, f));
		}
		return fingerprints;
	}

	private static long fingerprint(String hex, String field, StoreEntryFields f) throws InputException {
		try {
			return Long.parseUnsignedLong(hex, HEX);
		}
		catch (NumberFormatException ex) {
			throw f.invalidField(field);
		}
	}

}
