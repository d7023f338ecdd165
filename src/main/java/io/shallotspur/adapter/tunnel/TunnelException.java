package io.shallotspur.adapter.tunnel;

import java.net.ConnectException;

/**
 * A tunnel could not be opened. Nothing was sent to the worker.
 */
public final class TunnelException extends ConnectException {

	private static final long serialVersionUID = 1L;

	private final TunnelStatus status;

	TunnelException(TunnelStatus status, String worker) {
		super("tunnel " + status.code() + ": " + worker);
		this.status = status;
	}

	/**
	 * Returns why.
	 * @return the status, never {@link TunnelStatus#CONNECTED}
	 */
	public TunnelStatus status() {
		return this.status;
	}

}
