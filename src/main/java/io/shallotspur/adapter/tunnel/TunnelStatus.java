package io.shallotspur.adapter.tunnel;

import java.util.Locale;

/**
 * The answer to a {@link TunnelRequest}.
 */
public enum TunnelStatus {

	/** The worker is connected: what follows is exchanged with it. */
	CONNECTED,

	/** No process listens at the worker's address. */
	REFUSED,

	/** The worker's address does not respond. */
	NO_RESPONSE,

	/**
	 * The VM does not know the worker, is not the one that was meant, is draining or has
	 * too many tunnels.
	 */
	UNAVAILABLE;

	/**
	 * Returns the name for log lines and messages.
	 * @return the name in lower case, words joined by hyphens
	 */
	String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
