package io.shallotspur.demo;

import java.util.List;
import java.util.Map;

/**
 * The system that callers of the demonstration send to, and what is seen behind it.
 * Implementations are thread-safe.
 */
interface DemoTarget {

	/**
	 * Returns where callers connect, the dead among them.
	 * @return {@code host:port} of each entry VM
	 */
	List<String> callers();

	/**
	 * Returns how often each key was run. May block.
	 * @return the executions by key, over all plain workers
	 */
	Map<String, Integer> runs();

	/**
	 * Returns the requests that hold engine memory.
	 * @return the number, over all workers
	 */
	int heldAtEngines();

}
