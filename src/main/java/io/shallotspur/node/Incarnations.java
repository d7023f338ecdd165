package io.shallotspur.node;

/**
 * Knows which lives of which entry VMs have ended. Implementations are thread-safe and
 * answer from memory.
 */
@FunctionalInterface
public interface Incarnations {

	/**
	 * Tells whether a life of a VM may still go on.
	 * @param vm the name of the VM
	 * @param incarnation rises with each start of the VM
	 * @return {@code false} if the VM is known to be dead, or to have started again
	 */
	boolean isLive(String vm, long incarnation);

}
