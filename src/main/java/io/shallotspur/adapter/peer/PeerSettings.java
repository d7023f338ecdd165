package io.shallotspur.adapter.peer;

import org.jspecify.annotations.Nullable;

/**
 * Settings of the peer links. Immutable; {@link #toString()} leaves the secret out.
 *
 * @param bindHost the address to listen on
 * @param bindPort the port to listen on, 0 for any free one
 * @param clusterId names the deployment; links between two deployments are refused
 * @param secret shared by all entry VMs of the deployment
 * @param tls the certificates, or {@code null} for plain TCP
 * @param maxFrameBytes the largest frame that is read or written
 * @param sendQueueBytes how much may wait to be sent on one link
 * @param maxLinks how many links are accepted at a time
 * @param connectTimeoutMs time for a connection and its handshake, in milliseconds
 * @param heartbeatMs a link with calls open sends a heartbeat when idle for this long; it
 * is closed when nothing came for three times as long, in milliseconds
 * @param idleCloseMs a link without open calls is closed after this time, in milliseconds
 */
public record PeerSettings(String bindHost, int bindPort, String clusterId, byte[] secret, @Nullable PeerTls tls,
		int maxFrameBytes, int sendQueueBytes, int maxLinks, long connectTimeoutMs, long heartbeatMs,
		long idleCloseMs) {

	private static final int DEFAULT_MAX_FRAME = 4 << 20;

	private static final int DEFAULT_SEND_QUEUE = 8 << 20;

	private static final int DEFAULT_MAX_LINKS = 4096;

	private static final long DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

	private static final long DEFAULT_HEARTBEAT_MS = 2_000;

	private static final long DEFAULT_IDLE_CLOSE_MS = 60_000;

	public PeerSettings {
		secret = secret.clone();
	}

	/**
	 * Creates settings with the default limits and without TLS.
	 * @param bindHost the address to listen on
	 * @param bindPort the port to listen on, 0 for any free one
	 * @param clusterId names the deployment
	 * @param secret shared by all entry VMs of the deployment
	 * @return the settings
	 */
	public static PeerSettings of(String bindHost, int bindPort, String clusterId, byte[] secret) {
		return new PeerSettings(bindHost, bindPort, clusterId, secret, null, DEFAULT_MAX_FRAME, DEFAULT_SEND_QUEUE,
				DEFAULT_MAX_LINKS, DEFAULT_CONNECT_TIMEOUT_MS, DEFAULT_HEARTBEAT_MS, DEFAULT_IDLE_CLOSE_MS);
	}

	/**
	 * Returns the same settings with TLS.
	 * @param tls the certificates
	 * @return new settings
	 */
	public PeerSettings withTls(PeerTls tls) {
		return new PeerSettings(this.bindHost, this.bindPort, this.clusterId, this.secret, tls, this.maxFrameBytes,
				this.sendQueueBytes, this.maxLinks, this.connectTimeoutMs, this.heartbeatMs, this.idleCloseMs);
	}

	/**
	 * Returns the same settings with other sizes.
	 * @param maxFrameBytes the largest frame
	 * @param sendQueueBytes how much may wait to be sent on one link
	 * @param maxLinks how many links are accepted at a time
	 * @return new settings
	 */
	public PeerSettings withSizes(int maxFrameBytes, int sendQueueBytes, int maxLinks) {
		return new PeerSettings(this.bindHost, this.bindPort, this.clusterId, this.secret, this.tls, maxFrameBytes,
				sendQueueBytes, maxLinks, this.connectTimeoutMs, this.heartbeatMs, this.idleCloseMs);
	}

	/**
	 * Returns the same settings with other times.
	 * @param connectTimeoutMs time for a connection and its handshake
	 * @param heartbeatMs time between heartbeats
	 * @param idleCloseMs time after which an unused link is closed
	 * @return new settings
	 */
	public PeerSettings withTimes(long connectTimeoutMs, long heartbeatMs, long idleCloseMs) {
		return new PeerSettings(this.bindHost, this.bindPort, this.clusterId, this.secret, this.tls, this.maxFrameBytes,
				this.sendQueueBytes, this.maxLinks, connectTimeoutMs, heartbeatMs, idleCloseMs);
	}

	@Override
	public byte[] secret() {
		return this.secret.clone();
	}

	@Override
	public String toString() {
		return "PeerSettings[" + this.bindHost + ":" + this.bindPort + ", cluster " + this.clusterId + "]";
	}

}
