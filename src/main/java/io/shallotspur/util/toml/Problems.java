package io.shallotspur.util.toml;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Collects what is wrong in one file. Not thread-safe: one reader fills one instance.
 */
public final class Problems {

	private final String file;

	private final List<Problem> list = new ArrayList<>();

	/**
	 * Creates an empty collection.
	 * @param file the file, as shown to its author
	 */
	public Problems(String file) {
		this.file = file;
	}

	/**
	 * Adds a problem.
	 * @param key the dotted key
	 * @param what what is wrong with the value
	 * @param allowed what would be right
	 */
	public void add(String key, String what, String allowed) {
		this.list.add(new Problem(this.file, key, what, allowed));
	}

	/**
	 * Returns the file the problems are about.
	 * @return the file
	 */
	public String file() {
		return this.file;
	}

	/**
	 * Returns the problems so far.
	 * @return a copy, in the order they were found
	 */
	public List<Problem> list() {
		return List.copyOf(this.list);
	}

	/**
	 * Tells whether nothing is wrong so far.
	 * @return {@code true} if there is no problem
	 */
	public boolean isEmpty() {
		return this.list.isEmpty();
	}

	@Override
	public String toString() {
		return this.list.stream().map(Problem::toString).collect(Collectors.joining("\n"));
	}

}
