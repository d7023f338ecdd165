package io.shallotspur.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;

import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/**
 * Reads the bodies of workers' responses to calls that are not relayed. Stateless.
 */
final class ControlBody {

	// Far more than the longest of these responses, which lists a worker's requests.
	private static final int MAX_BYTES = 256 << 10;

	private ControlBody() {
	}

	/**
	 * Reads a body. One that is too long is read no further, and its connection closed: a
	 * worker in trouble may send bytes without end.
	 * @param content the content of the response
	 * @return the bytes, none if there is no body; signals an {@link IOException} if it
	 * is too long
	 */
	static Mono<byte[]> read(ByteBufFlux content) {
		return Mono.defer(() -> {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			return content.asByteArray().handle((b, sink) -> {
				body.writeBytes(b);
				if (body.size() > MAX_BYTES) {
					sink.error(new IOException("The body is longer than " + MAX_BYTES + " bytes."));
				}
			}).then(Mono.fromSupplier(body::toByteArray));
		});
	}

}
