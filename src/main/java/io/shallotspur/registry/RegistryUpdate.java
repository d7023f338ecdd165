package io.shallotspur.registry;

import java.util.List;

/**
 * Changes in the registry, or a listing of all of it. Immutable.
 *
 * @param position the state of the store up to which the changes are complete
 * @param changes the changes, oldest first
 */
public record RegistryUpdate(StorePosition position, List<RegistryChange> changes) {

	/**
	 * Creates news; the list is copied.
	 */
	public RegistryUpdate {
		changes = List.copyOf(changes);
	}

}
