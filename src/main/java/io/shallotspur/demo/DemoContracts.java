package io.shallotspur.demo;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;

/**
 * The contracts of both deployments, and the traffic under them.
 */
final class DemoContracts {

	private static final RequestClass SUMMARY = new RequestClass("eligibility-summary", "resumo-llm", 2, 2000, 53,
			15_000, true);

	private static final RequestClass RENEWAL = new RequestClass("renewal", "renova-app", 1, 1500, 0, 5000, false);

	private static final RequestClass PORTAL = new RequestClass("portal-status", "renova-app", 0, 500, 0, 2000, true);

	private static final RequestClass CARD = new RequestClass("registration-card", "draft-llm", 3, 2000, 53, 15_000,
			true);

	private static final RequestClass KEY = new RequestClass("key-encoding", "kiosk-api", 0, 1000, 0, 4000, false);

	private static final RequestClass DOOR = new RequestClass("door-status", "kiosk-api", 0, 500, 0, 2000, true);

	private DemoContracts() {
	}

	static List<DemoClass> traffic() {
		return List.of(new DemoClass("bilhete-continuo", SUMMARY, 6, 3000, 900, 60, 5, 0),
				new DemoClass("bilhete-continuo", RENEWAL, 6, 0, 0, 0, 0, 10),
				new DemoClass("bilhete-continuo", PORTAL, 25, 0, 0, 0, 2, 0),
				new DemoClass("estrada-velha", SUMMARY, 3, 2500, 700, 50, 5, 0),
				new DemoClass("estrada-velha", RENEWAL, 3, 0, 0, 0, 0, 10),
				new DemoClass("lonestar-motels", CARD, 6, 1200, 400, 70, 5, 0),
				new DemoClass("lonestar-motels", KEY, 6, 0, 0, 0, 0, 10),
				new DemoClass("lonestar-motels", DOOR, 20, 0, 0, 0, 2, 0),
				new DemoClass("lonestar-groups", CARD, 4, 1000, 300, 60, 5, 0),
				new DemoClass("lonestar-groups", KEY, 4, 0, 0, 0, 0, 10));
	}

	static ContractSet contracts() {
		Map<String, List<RequestClass>> m = new LinkedHashMap<>();
		traffic().forEach((c) -> m.merge(c.customer(), List.of(c.terms()), DemoContracts::concat));
		return ContractSet.of(m.entrySet()
			.stream()
			.map((e) -> new Contract(e.getKey(), 1, 0.4, List.of(sha256("demo-" + e.getKey())), e.getValue(), false))
			.toList());
	}

	private static List<RequestClass> concat(List<RequestClass> a, List<RequestClass> b) {
		return Stream.concat(a.stream(), b.stream()).toList();
	}

	private static String sha256(String token) {
		try {
			byte[] d = MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(d);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
