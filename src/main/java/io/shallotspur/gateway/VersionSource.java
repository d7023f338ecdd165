package io.shallotspur.gateway;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * Proves at which versions streams have begun. Called on the gateway's thread, on which
 * it calls back.
 */
@FunctionalInterface
public interface VersionSource {

	/**
	 * Determines the only version at which streams of an upstream can have begun until
	 * now, on any VM.
	 * @param upstream the upstream
	 * @param callback called once with the version; with an empty result if there may
	 * have been several or the registry does not respond
	 */
	void findOnlyVersion(String upstream, Consumer<Optional<String>> callback);

}
