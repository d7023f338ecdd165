package io.shallotspur.gateway;

import io.shallotspur.quarantine.RequestFingerprint;

/**
 * The fingerprint of a request, computed when it is first needed: hashing every body
 * would cost more than the few requests that need it are worth. The host is the route's,
 * as callers may add the port of the VM that they have chosen. Not thread-safe; confined
 * to the gateway's thread.
 */
final class LazyFingerprint {

	private final AdmittedRequest admitted;

	private boolean computed;

	private long value;

	LazyFingerprint(AdmittedRequest admitted) {
		this.admitted = admitted;
	}

	long value() {
		if (!this.computed) {
			RelayRequest r = this.admitted.request();
			this.value = RequestFingerprint.of(this.admitted.customerName(), r.method(), this.admitted.route().host(),
					r.target(), r.body());
			this.computed = true;
		}
		return this.value;
	}

}
