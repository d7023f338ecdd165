package io.shallotspur.contract;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.shallotspur.util.toml.Problems;

/**
 * Checks that contracts can be kept as written, one by one and together. Stateless and
 * thread-safe.
 */
public final class ContractValidator {

	/**
	 * Shares are decimal fractions: ten of 0.1 must not fail for their rounding.
	 */
	private static final double SHARE_TOLERANCE = 1e-9;

	private static final String POSITIVE_DURATION = "a whole number of milliseconds over 0";

	private ContractValidator() {
	}

	/**
	 * Checks a whole set of contracts. Retired contracts are left out.
	 * @param contracts the contracts
	 * @param problems receives what is wrong, in a steady order
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
				problems.add(c.customer(), "is there twice", "one contract for each customer");
			}
			c.keyHashes().stream().filter((k) -> !keyHashes.add(k)).forEach((k) -> addDuplicateKey(c, problems));
			upstreams(c).forEach((u) -> shares.merge(u, c.share(), Double::sum));
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
			problems.add(c.customer() + ".share", "is " + c.share(), "over 0 and at most 1");
		}
		if (c.classes().isEmpty()) {
			problems.add(c.customer() + ".class", "there is none", "at least one class");
		}
		Set<String> names = new HashSet<>();
		for (RequestClass r : c.classes()) {
			String key = c.customer() + "/" + r.name();
			if (!names.add(r.name())) {
				problems.add(key, "is there twice", "names that are unique in the contract");
			}
			validateClass(r, key, problems);
		}
	}

	private static void validateClass(RequestClass r, String key, Problems problems) {
		if (r.name().isBlank()) {
			problems.add(key + ".name", "is empty", "a name");
		}
		if (r.upstream().isBlank()) {
			problems.add(key + ".upstream", "is empty", "the name of an upstream");
		}
		if (r.priority() < 0) {
			problems.add(key + ".priority", "is " + r.priority(), "0 or more");
		}
		requirePositive(key + ".ttft_ms", r.ttftMs(), problems);
		requirePositive(key + ".tbt_ms", r.tbtMs(), problems);
		requirePositive(key + ".deadline_ms", r.deadlineMs(), problems);
		if (r.ttftMs() > r.deadlineMs()) {
			problems.add(key + ".ttft_ms", "is " + r.ttftMs() + ", after the deadline",
					"at most deadline_ms, which is " + r.deadlineMs());
		}
	}

	private static void requirePositive(String key, long value, Problems problems) {
		if (value <= 0) {
			problems.add(key, "is " + value, POSITIVE_DURATION);
		}
	}

	private static void addDuplicateKey(Contract c, Problems problems) {
		problems.add(c.customer() + ".key_hashes", "has a hash that is there twice", "hashes that name one customer");
	}

	private static Set<String> upstreams(Contract c) {
		Set<String> names = new TreeSet<>();
		c.classes().forEach((r) -> names.add(r.upstream()));
		return names;
	}

}
