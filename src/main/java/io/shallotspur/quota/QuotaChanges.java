package io.shallotspur.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.shallotspur.route.Customer;
import io.shallotspur.route.Quota;

/**
 * Finds the quotas that differ between two configurations, for the log: an operator who
 * looks into refusals needs to know when a limit changed at a VM. Stateless.
 */
public final class QuotaChanges {

	private static final int MAX_LINES = 20;

	private QuotaChanges() {
	}

	/**
	 * Describes the changes.
	 * @param before the customers of the former configuration
	 * @param after the customers of the new one
	 * @return a line for each customer that both contain and whose quota differs, 20 at
	 * most
	 */
	public static List<String> between(Collection<Customer> before, Collection<Customer> after) {
		Map<String, Quota> former = new HashMap<>();
		before.forEach((c) -> former.put(c.name(), c.quota()));
		return after.stream()
			.filter((c) -> former.containsKey(c.name()) && !c.quota().equals(former.get(c.name())))
			.limit(MAX_LINES)
			.map((c) -> "changed customer=" + c.name() + " quota=" + c.quota() + " was=" + former.get(c.name()))
			.toList();
	}

}
