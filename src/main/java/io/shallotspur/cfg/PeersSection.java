package io.shallotspur.cfg;

/**
 * The links between entry VMs. Immutable.
 *
 * @param listen where other entry VMs connect
 * @param advertise what other entry VMs are told; the same as {@code listen} by default
 * @param secret shared by all entry VMs; proves membership at the handshake
 * @param maxFrameBytes a longer frame ends the link
 * @param tlsCertFile PEM certificate chain; empty for no TLS
 * @param tlsKeyFile PEM private key; empty for no TLS
 * @param tlsTrustFile PEM certificates that peers must be signed by; empty for no TLS
 */
public record PeersSection(Endpoint listen, Endpoint advertise, Secret secret, int maxFrameBytes, String tlsCertFile,
		String tlsKeyFile, String tlsTrustFile) {

}
