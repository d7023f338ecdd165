package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The versions of the workers of each upstream that the registry has as announced. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: streams that callers may resume begin at announced versions only. If the
 * registry has announced one version only, then all of them began at it, also those that
 * no VM remembers.
 */
public final class AnnouncedVersions {

	private final Map<String, Set<String>> byUpstream = new HashMap<>();

	private Consumer<String> mixedListener = (upstream) -> {
	};

	/**
	 * Sets the listener for upstreams that turn out to have several versions.
	 * @param listener called with the upstream
	 */
	void setMixedListener(Consumer<String> listener) {
		this.mixedListener = listener;
	}

	/**
	 * Replaces the announced versions of an upstream.
	 * @param upstream the upstream
	 * @param versions the versions
	 */
	public void update(String upstream, Set<String> versions) {
		Set<String> previous = this.byUpstream.put(upstream, Set.copyOf(versions));
		boolean wasMixed = previous != null && previous.size() > 1;
		if (!wasMixed && versions.size() > 1) {
			this.mixedListener.accept(upstream);
		}
	}

	/**
	 * Returns the announced versions of an upstream.
	 * @param upstream the upstream
	 * @return the versions; empty if none is known
	 */
	public Set<String> of(String upstream) {
		return this.byUpstream.getOrDefault(upstream, Set.of());
	}

	boolean contains(WorkerInfo w) {
		return of(w.upstream()).contains(w.version());
	}

}
