package io.shallotspur.replay.fake;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * The prefix cache of one prefill worker, least recently used first out. Not thread-safe.
 * <p>
 * Invariant: the tokens of all entries together never exceed the capacity.
 */
public final class PrefixCache {

	private final int capacity;

	private final Map<Prefix, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);

	private int used;

	/**
	 * Creates an empty cache.
	 * @param capacity the tokens it holds
	 */
	public PrefixCache(int capacity) {
		this.capacity = capacity;
	}

	/**
	 * Looks up a prefix and marks it as used.
	 * @param prefix the prefix, or {@code null} for a prompt without one
	 * @return whether the prefix is held
	 */
	public boolean touch(@Nullable Prefix prefix) {
		return prefix != null && this.entries.get(prefix) != null;
	}

	/**
	 * Adds a prefix. One that is larger than the whole cache is not stored.
	 * @param prefix the prefix
	 * @param evicted receives what had to go
	 * @return whether the prefix is new in the cache
	 */
	public boolean add(Prefix prefix, Consumer<Prefix> evicted) {
		if (prefix.tokens() > this.capacity || touch(prefix)) {
			return false;
		}
		while (this.used + prefix.tokens() > this.capacity) {
			Prefix p = this.entries.keySet().iterator().next();
			this.entries.remove(p);
			this.used -= p.tokens();
			evicted.accept(p);
		}
		this.entries.put(prefix, true);
		this.used += prefix.tokens();
		return true;
	}

	/**
	 * Forgets everything.
	 */
	public void clear() {
		this.entries.clear();
		this.used = 0;
	}

	/**
	 * A shared preamble. Immutable.
	 *
	 * @param name the name in the trace
	 * @param tokens its length
	 */
	public record Prefix(String name, int tokens) {

	}

}
