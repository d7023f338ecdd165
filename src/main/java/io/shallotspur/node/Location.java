package io.shallotspur.node;

import java.util.List;

/**
 * The answer to a caller that asks which address to use. Immutable.
 *
 * @param addresses {@code host:port}, the best one first
 * @param ttlMs how long the caller may keep the answer, in milliseconds
 */
public record Location(List<String> addresses, long ttlMs) {

	public Location {
		addresses = List.copyOf(addresses);
	}

}
