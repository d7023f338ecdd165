package io.shallotspur.origin;

import io.shallotspur.gateway.KnownOrigin;
import io.shallotspur.gateway.StreamOrigin;

/**
 * Where one stream began, in a message between VMs. Immutable.
 *
 * @param request the id of the request that brought its first event
 * @param upstream the upstream
 * @param version the version of the worker's software
 * @param ttlMs for how much longer it may be resumed, in milliseconds
 */
public record OriginEntry(String request, String upstream, String version, long ttlMs) {

	static OriginEntry of(KnownOrigin k) {
		return new OriginEntry(k.request(), k.origin().upstream(), k.origin().version(), k.ttlMs());
	}

	StreamOrigin origin() {
		return new StreamOrigin(this.upstream, this.version);
	}

	KnownOrigin known() {
		return new KnownOrigin(this.request, origin(), this.ttlMs);
	}

}
