package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Where the streams began that this VM knows of: its own and those that other VMs have
 * told it about. Not thread-safe; confined to the gateway's thread.
 * <p>
 * Invariants: at most {@link #MAX_STREAMS} are kept; of an id that was used for streams
 * of different versions nothing is known.
 */
public final class StreamOrigins {

	/** Enough for 90 s at 700 streams a second, this VM's and its part of others'. */
	static final int MAX_STREAMS = 65_536;

	// Longer ids are not kept, so that callers cannot fill the memory, in characters.
	private static final int MAX_ID_LENGTH = 128;

	private final Map<String, Entry> byRequest = new LinkedHashMap<>();

	/**
	 * Adds a stream of this VM.
	 * @param known the stream
	 * @param shared whether other VMs are told about it at once
	 * @param now the present time in milliseconds
	 */
	void addOwn(KnownOrigin known, boolean shared, long now) {
		add(known, !shared, now);
	}

	/**
	 * Adds a stream that another VM has told this one about.
	 * @param known the stream
	 * @param now the present time in milliseconds
	 */
	public void add(KnownOrigin known, long now) {
		add(known, false, now);
	}

	private void add(KnownOrigin known, boolean unshared, long now) {
		if (known.request().length() > MAX_ID_LENGTH) {
			return;
		}
		Entry previous = this.byRequest.remove(known.request());
		boolean valid = previous != null && previous.expiresAt() > now;
		Optional<StreamOrigin> origin = Optional.of(known.origin())
			.filter((o) -> !valid || previous.origin().equals(Optional.of(o)));
		long expiresAt = now + known.ttlMs();
		this.byRequest.put(known.request(),
				new Entry(origin, valid ? Math.max(previous.expiresAt(), expiresAt) : expiresAt, unshared));
		removeExpired(now);
	}

	// Those added first expire first, but for differences between the routes.
	private void removeExpired(long now) {
		Iterator<Entry> eldestFirst = this.byRequest.values().iterator();
		while (eldestFirst.hasNext()) {
			if (eldestFirst.next().expiresAt() > now && this.byRequest.size() <= MAX_STREAMS) {
				return;
			}
			eldestFirst.remove();
		}
	}

	/**
	 * Finds a stream.
	 * @param request the id of the request that brought its first event
	 * @param now the present time in milliseconds
	 * @return where it began, or empty if that is not known
	 */
	public Optional<StreamOrigin> find(String request, long now) {
		Entry e = this.byRequest.get(request);
		return (e != null && e.expiresAt() > now) ? e.origin() : Optional.empty();
	}

	/**
	 * Returns this VM's streams of an upstream that no other VM has been told about, and
	 * marks them as told.
	 * @param upstream the upstream
	 * @param now the present time in milliseconds
	 * @return the streams
	 */
	List<KnownOrigin> takeUnshared(String upstream, long now) {
		List<KnownOrigin> l = new ArrayList<>();
		this.byRequest.replaceAll((request, e) -> {
			if (!e.unshared() || e.origin().filter((o) -> o.upstream().equals(upstream)).isEmpty()) {
				return e;
			}
			if (e.expiresAt() > now) {
				l.add(new KnownOrigin(request, e.origin().get(), e.expiresAt() - now));
			}
			return e.asShared();
		});
		return l;
	}

	/**
	 * Returns the number of streams.
	 * @return the number, with some that have expired
	 */
	public int size() {
		return this.byRequest.size();
	}

	// Without an origin if streams of different versions have the id.
	private record Entry(Optional<StreamOrigin> origin, long expiresAt, boolean unshared) {

		Entry asShared() {
			return new Entry(this.origin, this.expiresAt, false);
		}

	}

}
