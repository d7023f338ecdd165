package io.shallotspur.registry;

import java.util.List;

/**
 * Changes in the registry, or a listing of all of it. Immutable.
 *
 * @param revision the revision of the store up to which the changes are complete
 * @param changes the changes, oldest first
 */
public record RegistryNews(long revision, List<RegistryChange> changes) {

	/**
	 * Creates news; the list is copied.
	 */
	public RegistryNews {
		changes = List.copyOf(changes);
	}

}
