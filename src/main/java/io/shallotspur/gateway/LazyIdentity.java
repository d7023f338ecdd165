package io.shallotspur.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

import io.shallotspur.quarantine.PartFingerprint;
import io.shallotspur.quarantine.RequestFingerprint;
import io.shallotspur.quarantine.RequestIdentity;

/**
 * The fingerprints of a request and of the shared parts of its prompt, computed when they
 * are first needed: hashing every body would cost more than the few requests that need it
 * are worth. The host is the route's, as callers may add the port of the VM that they
 * have chosen. Not thread-safe; confined to the gateway's thread.
 */
final class LazyIdentity {

	private final AdmittedRequest admitted;

	private final String upstream;

	private final PartFingerprintCache cache;

	private @Nullable Long fingerprint;

	private @Nullable List<PartFingerprint> parts;

	LazyIdentity(AdmittedRequest admitted, String upstream, PartFingerprintCache cache) {
		this.admitted = admitted;
		this.cache = cache;
		this.upstream = upstream;
	}

	String upstream() {
		return this.upstream;
	}

	long fingerprint() {
		Long known = this.fingerprint;
		if (known == null) {
			RelayRequest r = this.admitted.request();
			known = RequestFingerprint.of(this.admitted.customerName(), r.method(), this.admitted.route().host(),
					r.target(), r.body());
			this.fingerprint = known;
		}
		return known;
	}

	List<PartFingerprint> parts() {
		List<PartFingerprint> known = this.parts;
		if (known == null) {
			known = this.admitted.request()
				.sharedPromptParts()
				.stream()
				.map((p) -> this.cache.get(this.admitted.customerName(), this.upstream, p))
				.toList();
			this.parts = known;
		}
		return known;
	}

	RequestIdentity value() {
		return new RequestIdentity(fingerprint(), parts());
	}

}
