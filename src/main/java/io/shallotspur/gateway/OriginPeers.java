package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Tells other VMs where streams began and asks them. Called on the gateway's thread, on
 * which it calls back.
 */
public interface OriginPeers {

	/** Knows no other VM. */
	OriginPeers NONE = new OriginPeers() {

		@Override
		public void tell(List<KnownOrigin> streams) {
			// There is no other VM.
		}

		@Override
		public void ask(String request, Consumer<Optional<StreamOrigin>> callback) {
			callback.accept(Optional.empty());
		}

	};

	/**
	 * Tells some other VMs where streams began. What is told may be lost.
	 * @param streams the streams
	 */
	void tell(List<KnownOrigin> streams);

	/**
	 * Asks other VMs where a stream began.
	 * @param request the id of the request that brought its first event
	 * @param callback called once, with an empty result if no VM answers that it knows
	 */
	void ask(String request, Consumer<Optional<StreamOrigin>> callback);

}
