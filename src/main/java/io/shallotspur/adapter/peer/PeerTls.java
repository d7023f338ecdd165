package io.shallotspur.adapter.peer;

import java.nio.file.Path;

import javax.net.ssl.SSLException;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;

import io.shallotspur.exc.SettingsException;

/**
 * Certificates for links over TLS; both sides present one. Immutable.
 *
 * @param certificate a PEM file with this VM's certificate chain
 * @param key a PEM file with its private key (PKCS#8)
 * @param trusted a PEM file with the certificates that peers' chains must end in
 */
public record PeerTls(Path certificate, Path key, Path trusted) {

	SslContext server() throws SettingsException {
		try {
			return SslContextBuilder.forServer(this.certificate.toFile(), this.key.toFile())
				.trustManager(this.trusted.toFile())
				.clientAuth(ClientAuth.REQUIRE)
				.build();
		}
		catch (SSLException | IllegalArgumentException ex) {
			throw unreadable(ex);
		}
	}

	SslContext client() throws SettingsException {
		try {
			return SslContextBuilder.forClient()
				.keyManager(this.certificate.toFile(), this.key.toFile())
				.trustManager(this.trusted.toFile())
				.build();
		}
		catch (SSLException | IllegalArgumentException ex) {
			throw unreadable(ex);
		}
	}

	private SettingsException unreadable(Exception ex) {
		return new SettingsException("the peer certificates cannot be used", this.certificate.toString(), ex);
	}

}
