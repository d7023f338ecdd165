package io.shallotspur.port;

import reactor.core.publisher.Mono;

/**
 * The platform's rate-limited store of model weights. Implementations are thread-safe.
 */
public interface WeightStore {

	/**
	 * Asks for leave to load a model from the store. Fails with
	 * {@link io.shallotspur.exc.StoreUnavailableException} if the rate is used up.
	 * @param model the model
	 * @param version the version of its weights
	 * @return the address to load from
	 */
	Mono<String> locate(String model, String version);

}
