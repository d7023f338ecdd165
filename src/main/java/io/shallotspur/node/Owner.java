package io.shallotspur.node;

/**
 * Who admits a request. Immutable.
 */
public sealed interface Owner {

	/**
	 * This entry VM.
	 *
	 * @param cell the cell that takes the request
	 */
	record Self(String cell) implements Owner {

	}

	/**
	 * Another entry VM.
	 *
	 * @param address its peer address, {@code host:port}
	 */
	record Peer(String address) implements Owner {

	}

	/**
	 * No entry VM, because the upstream has no worker that takes new work.
	 */
	record Nobody() implements Owner {

	}

}
