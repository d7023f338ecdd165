package io.shallotspur.registry;

import java.util.List;

/**
 * Tells other VMs about suspects without the store. Called on the gateway's thread.
 */
@FunctionalInterface
public interface SuspectPeers {

	/** Knows no other VM. */
	SuspectPeers NONE = (reports) -> {
	};

	/**
	 * Tells other VMs. What is told may be lost; the store has it later.
	 * @param reports what this VM knows of the suspects
	 */
	void tell(List<SuspectReport> reports);

}
