package io.shallotspur.gateway;

import org.jspecify.annotations.Nullable;

/**
 * The log lines of one request, from which its course is to be told. Not thread-safe;
 * confined to the gateway's thread.
 */
final class RelayLog {

	private final Gateway gateway;

	private final AdmittedRequest admitted;

	private final String upstream;

	private final LazyIdentity identity;

	private final long arrivedAt;

	RelayLog(Gateway gateway, AdmittedRequest admitted, String upstream, LazyIdentity identity, long arrivedAt) {
		this.gateway = gateway;
		this.admitted = admitted;
		this.upstream = upstream;
		this.identity = identity;
		this.arrivedAt = arrivedAt;
	}

	/**
	 * Writes a line.
	 * @param w the worker of the current attempt, or {@code null} if there is none
	 * @param sends the number of attempts that left this VM
	 * @param text what has happened
	 * @param now the present time in milliseconds
	 */
	void write(@Nullable WorkerInfo w, int sends, String text, long now) {
		String worker = (w != null) ? w.id() + " version=" + w.version() : "none";
		this.gateway.log.write(now,
				() -> "id=" + this.admitted.request().id() + " route=" + this.admitted.route().name() + " upstream="
						+ this.upstream + " customer=" + this.admitted.customerName() + " worker=" + worker + " config="
						+ this.admitted.routeTable().version() + " sends=" + sends + " ms=" + (now - this.arrivedAt)
						+ " " + text);
	}

	// Makes requests that broke off while they may have been running recognizable when
	// they are sent again.
	String fingerprintField() {
		return " fingerprint=" + Long.toHexString(this.identity.fingerprint());
	}

	String budgetField(AttemptOutcome end, long now) {
		if (end == AttemptOutcome.NOT_SENT) {
			return "";
		}
		return " budget=" + this.gateway.retryBudget.state(this.upstream, this.gateway.retrySlackShare(now), now)
				+ " vms=" + this.gateway.entryVms.count(now) + "/" + this.gateway.entryVms.servingCountAllRegions(now);
	}

}
