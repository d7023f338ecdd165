package io.shallotspur.contract;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.shallotspur.util.toml.Problems;

/**
 * Validates contracts, each on its own and all of them together. Stateless and
 * thread-safe.
 */
public final class ContractValidator {

	/**
	 * Tolerance for rounding errors, so that, for instance, ten shares of 0.1 are
	 * accepted.
	 */
	private static final double SHARE_TOLERANCE = 1e-9;

	private static final String POSITIVE_DURATION = "a positive whole number of milliseconds";

	private ContractValidator() {
	}

	/**
	 * Validates a set of contracts. Retired contracts are skipped.
	 * @param contracts the contracts
	 * @param problems receives the problems found, in a deterministic order
	 */
	public static void validate(Collection<Contract> contracts, Problems problems) {
		Set<String> customers = new HashSet<>();
		Set<String> keyHashes = new HashSet<>();
		TreeMap<String, Double> shares = new TreeMap<>();
		for (Contract c : contracts) {
			if (c.retired()) {
				continue;
			}
			validateContract(c, problems);
			if (!customers.add(c.customer())) {
				problems.add(c.customer(), "is duplicated", "one contract per customer");
			}
			c.keyHashes()
				.stream()
				.filter((hash) -> !keyHashes.add(hash))
				.forEach((hash) -> addDuplicateKey(c, problems));
			upstreams(c).forEach((upstream) -> shares.merge(upstream, c.share(), Double::sum));
		}
		shares.forEach((upstream, sum) -> {
			if (sum > 1 + SHARE_TOLERANCE) {
				problems.add("upstream " + upstream, "shares add up to " + sum, "at most 1");
			}
		});
	}

	private static void validateContract(Contract c, Problems problems) {
		if (c.customer().isBlank()) {
			problems.add("customer", "is empty", "a name");
		}
		if (!(c.share() > 0 && c.share() <= 1)) {
			problems.add(c.customer() + ".share", "is " + c.share(), "greater than 0 and at most 1");
		}
		if (c.classes().isEmpty()) {
			problems.add(c.customer() + ".class", "is missing", "at least one class");
		}
		Set<String> names = new HashSet<>();
		for (RequestClass requestClass : c.classes()) {
			String key = c.customer() + "/" + requestClass.name();
			if (!names.add(requestClass.name())) {
				problems.add(key, "is duplicated", "class names that are unique in the contract");
			}
			validateClass(requestClass, key, problems);
		}
	}

	private static void validateClass(RequestClass requestClass, String key, Problems problems) {
		if (requestClass.name().isBlank()) {
			problems.add(key + ".name", "is empty", "a name");
		}
		if (requestClass.upstream().isBlank()) {
			problems.add(key + ".upstream", "is empty", "the name of an upstream");
		}
		if (requestClass.priority() < 0) {
			problems.add(key + ".priority", "is " + requestClass.priority(), "0 or more");
		}
		requirePositive(key + ".ttft_ms", requestClass.ttftMs(), problems);
		requirePositive(key + ".tbt_ms", requestClass.tbtMs(), problems);
		requirePositive(key + ".deadline_ms", requestClass.deadlineMs(), problems);
		if (requestClass.ttftMs() > requestClass.deadlineMs()) {
			problems.add(key + ".ttft_ms", "is " + requestClass.ttftMs() + ", greater than the deadline",
					"at most deadline_ms, which is " + requestClass.deadlineMs());
		}
	}

	private static void requirePositive(String key, long value, Problems problems) {
		if (value <= 0) {
			problems.add(key, "is " + value, POSITIVE_DURATION);
		}
	}

	private static void addDuplicateKey(Contract c, Problems problems) {
		problems.add(c.customer() + ".key_hashes", "has a duplicate hash",
				"hashes that are unique across all contracts");
	}

	private static Set<String> upstreams(Contract c) {
		Set<String> names = new TreeSet<>();
		c.classes().forEach((requestClass) -> names.add(requestClass.upstream()));
		return names;
	}

}
