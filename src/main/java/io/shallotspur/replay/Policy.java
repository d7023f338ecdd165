package io.shallotspur.replay;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Who decides in a replay.
 */
public enum Policy {

	/**
	 * The product's own schedulers.
	 */
	SHALLOTSPUR("shallotspur"),

	/**
	 * Each worker in turn.
	 */
	ROUND_ROBIN("round-robin"),

	/**
	 * The less loaded of two random workers, by outstanding requests.
	 */
	P2C("p2c"),

	/**
	 * As {@link #P2C}, among the prefill workers that hold the prefix if there are any.
	 */
	P2C_PREFIX("p2c-prefix");

	private final String code;

	Policy(String code) {
		this.code = code;
	}

	/**
	 * Returns the name on the command line and in reports.
	 * @return the name
	 */
	public String code() {
		return this.code;
	}

	/**
	 * Finds a policy by its name.
	 * @param code the name
	 * @return the policy, or empty if there is none of that name
	 */
	public static Optional<Policy> find(String code) {
		return Arrays.stream(values()).filter((p) -> p.code.equals(code)).findFirst();
	}

	/**
	 * Returns the names of all policies.
	 * @return the names
	 */
	public static List<String> codes() {
		return Arrays.stream(values()).map(Policy::code).toList();
	}

}
