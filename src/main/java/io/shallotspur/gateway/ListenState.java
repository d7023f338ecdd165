package io.shallotspur.gateway;

import java.util.Locale;

/**
 * How the address of a worker responds to a new connection.
 */
public enum ListenState {

	/** The connection is accepted: by the worker, or by one that has replaced it. */
	ACCEPTS,

	/** The connection is refused: no process listens. */
	REFUSES,

	/**
	 * There is no response: the network is cut, the machine has lost power, or a full
	 * queue of connections drops new ones.
	 */
	NO_RESPONSE;

	/**
	 * Returns the name for log lines.
	 * @return the name in lower case, words joined by hyphens
	 */
	String code() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
