package io.shallotspur.gateway;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.shallotspur.route.Route;

/**
 * Knows where streams began: remembers those of this VM, tells other VMs about them while
 * they may have begun at several versions, and asks. Not thread-safe; confined to the
 * gateway's thread.
 */
public final class OriginTracker {

	private final LongSupplier clock;

	private final StreamOrigins streams = new StreamOrigins();

	private final AnnouncedVersions versions = new AnnouncedVersions();

	private OriginPeers peers = OriginPeers.NONE;

	private VersionSource versionSource = (upstream, callback) -> callback.accept(Optional.empty());

	OriginTracker(LongSupplier clock) {
		this.clock = clock;
		this.versions.setMixedListener(this::tellOfUnshared);
	}

	/**
	 * Returns the announced versions of the workers.
	 * @return the versions; kept up to date by the registry watcher
	 */
	public AnnouncedVersions versions() {
		return this.versions;
	}

	/**
	 * Returns where streams began.
	 * @return the streams that this VM knows of
	 */
	public StreamOrigins streams() {
		return this.streams;
	}

	/**
	 * Sets what proves at which versions streams have begun.
	 * @param source asks the registry
	 */
	public void setVersionSource(VersionSource source) {
		this.versionSource = source;
	}

	/**
	 * Sets the other VMs that remember where streams began.
	 * @param others tells and asks them
	 */
	public void setPeers(OriginPeers others) {
		this.peers = others;
	}

	void findOnlyVersion(String upstream, Consumer<Optional<String>> callback) {
		this.versionSource.findOnlyVersion(upstream, callback);
	}

	void askPeers(String request, Consumer<Optional<StreamOrigin>> callback) {
		this.peers.ask(request, callback);
	}

	/**
	 * Remembers where a stream began that its caller may resume. Other VMs are told
	 * unless there is only one place where it can have begun.
	 * @param stream the stream
	 * @param route its route
	 * @param now the present time in milliseconds
	 */
	void streamBegan(KnownOrigin stream, Route route, long now) {
		boolean shared = hasSeveralOrigins(route);
		this.streams.addOwn(stream, shared, now);
		if (shared) {
			this.peers.tell(List.of(stream));
		}
	}

	/**
	 * Tells whether the streams of a route may have begun at several places.
	 * @param route the route
	 * @return {@code false} if all began at one upstream and one version, as far as this
	 * VM knows
	 */
	boolean hasSeveralOrigins(Route route) {
		return route.targets().size() > 1 || this.versions.areMixed(route.targets().get(0).upstream());
	}

	private void tellOfUnshared(String upstream) {
		List<KnownOrigin> l = this.streams.takeUnshared(upstream, this.clock.getAsLong());
		if (!l.isEmpty()) {
			this.peers.tell(l);
		}
	}

}
