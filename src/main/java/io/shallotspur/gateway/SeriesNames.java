package io.shallotspur.gateway;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bounds the number of metric series that are named after values from outside, such as
 * customers: the first names get a series of their own, later ones share one.
 * Thread-safe.
 */
public final class SeriesNames {

	/** The series of all names beyond the bound. */
	public static final String OTHERS = "others";

	private final int max;

	private final Set<String> names = ConcurrentHashMap.newKeySet();

	/**
	 * Creates an instance without names.
	 * @param max the number of names with a series of their own; a few more if several
	 * threads add names at the same time
	 */
	public SeriesNames(int max) {
		this.max = max;
	}

	/**
	 * Adds a name if the bound allows it.
	 * @param name the name
	 * @return whether it is new and has a series of its own
	 */
	public boolean add(String name) {
		return this.names.size() < this.max && this.names.add(name);
	}

	/**
	 * Returns the series of a name, which is added if the bound allows it.
	 * @param name the name
	 * @return the name, or {@link #OTHERS}
	 */
	public String seriesOf(String name) {
		add(name);
		return this.names.contains(name) ? name : OTHERS;
	}

}
