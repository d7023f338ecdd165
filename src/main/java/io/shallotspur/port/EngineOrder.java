package io.shallotspur.port;

/**
 * An order to a worker. Orders are idempotent: carrying one out twice is the same as
 * once.
 */
public sealed interface EngineOrder {

	/**
	 * Load a model.
	 *
	 * @param model the model
	 * @param version the version of its weights
	 * @param from where to load it from
	 * @param fencingToken number of the lease under which the order is given
	 */
	record Load(String model, String version, String from, long fencingToken) implements EngineOrder {

	}

	/**
	 * Unload a model.
	 *
	 * @param model the model
	 * @param fencingToken number of the lease under which the order is given
	 */
	record Unload(String model, long fencingToken) implements EngineOrder {

	}

	/**
	 * Become a prefill or a decode worker.
	 *
	 * @param role {@code prefill} or {@code decode}
	 * @param fencingToken number of the lease under which the order is given
	 */
	record ChangeRole(String role, long fencingToken) implements EngineOrder {

	}

}
