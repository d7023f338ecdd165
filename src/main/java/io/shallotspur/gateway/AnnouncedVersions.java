package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * The versions of the workers of each upstream that the registry has as announced. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: streams that callers may resume begin at announced versions only. If the
 * registry has announced one version only, then all of them began at it, also those that
 * no VM remembers.
 * <p>
 * A set of announced versions contains marks, too: a version that is about to be removed
 * is in it twice, once behind a prefix. No stream begins at a marked version.
 */
public final class AnnouncedVersions {

	/**
	 * Stands for all versions beyond the number that the registry can hold, none of which
	 * is announced by itself. With it, nothing is proved and each stream is told of.
	 */
	public static final String ANY = "*";

	// The prefix of the mark of a version that is about to be removed.
	private static final String RETIRING = "~";

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
	 * Replaces the announced versions of an upstream, with the marks of retiring ones.
	 * @param upstream the upstream
	 * @param versions the versions
	 */
	public void update(String upstream, Set<String> versions) {
		Set<String> previous = this.byUpstream.put(upstream, Set.copyOf(versions));
		boolean wasMixed = previous != null && areSeveral(previous);
		if (!wasMixed && areSeveral(versions)) {
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

	/**
	 * Tells whether streams of an upstream may have begun at several versions.
	 * @param upstream the upstream
	 * @return {@code false} also if no version is known
	 */
	boolean areMixed(String upstream) {
		return areSeveral(of(upstream));
	}

	private static boolean areSeveral(Set<String> announced) {
		return announced.size() > 1 || announced.contains(ANY);
	}

	/**
	 * Returns the only version at which streams may have begun.
	 * @param announced the announced versions of an upstream
	 * @return the version; empty if there is none or there are several
	 */
	public static Optional<String> only(Set<String> announced) {
		return areSeveral(announced) ? Optional.empty() : announced.stream().findAny();
	}

	boolean contains(WorkerInfo w) {
		return isUsable(w.upstream(), w.version());
	}

	/**
	 * Tells whether streams may begin at a version.
	 * @param upstream the upstream
	 * @param version the version of a worker's software
	 * @return whether it is announced
	 */
	public boolean isUsable(String upstream, String version) {
		return isUsable(of(upstream), version);
	}

	/**
	 * Tells whether streams may begin at a version.
	 * @param announced the announced versions of its upstream
	 * @param version the version
	 * @return whether it is announced and not retiring
	 */
	public static boolean isUsable(Set<String> announced, String version) {
		return isListed(announced, version) || isListed(announced, ANY);
	}

	private static boolean isListed(Set<String> announced, String version) {
		return announced.contains(version) && !announced.contains(RETIRING + version);
	}

	/**
	 * Returns the marked versions. Streams may have begun at them, and none begins there
	 * until the mark is removed.
	 * @param announced the announced versions of an upstream
	 * @return the versions, without their marks
	 */
	public static Set<String> retiring(Set<String> announced) {
		return announced.stream().filter((v) -> announced.contains(RETIRING + v)).collect(Collectors.toSet());
	}

	/**
	 * Returns the versions that are not marked.
	 * @param announced the announced versions of an upstream
	 * @return the versions, without marks
	 */
	public static Set<String> listed(Set<String> announced) {
		return announced.stream()
			.filter((v) -> isListed(announced, v) && !isMark(announced, v))
			.collect(Collectors.toSet());
	}

	private static boolean isMark(Set<String> announced, String v) {
		return v.startsWith(RETIRING) && announced.contains(v.substring(RETIRING.length()));
	}

	/**
	 * Marks a version as about to be removed.
	 * @param announced the announced versions of an upstream, changed by this method
	 * @param version the version
	 */
	public static void markRetiring(Set<String> announced, String version) {
		announced.add(RETIRING + version);
	}

	/**
	 * Removes the mark of a version.
	 * @param announced the announced versions of an upstream, changed by this method
	 * @param version the version
	 */
	public static void unmark(Set<String> announced, String version) {
		announced.remove(RETIRING + version);
	}

	/**
	 * Removes a version and its mark.
	 * @param announced the announced versions of an upstream, changed by this method
	 * @param version the version
	 */
	public static void remove(Set<String> announced, String version) {
		announced.remove(version);
		unmark(announced, version);
	}

}
