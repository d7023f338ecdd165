package io.shallotspur.adapter.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.IntPredicate;

import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;

/**
 * Reads the bodies of responses that are kept whole. Stateless.
 * <p>
 * Invariant: of a body that is too long, no more than its limit and the bytes of one read
 * are kept, and its connection is closed: a server in trouble may send bytes without end.
 */
public final class LimitedBody {

	// Far more than the longest of these responses, which lists a worker's requests.
	private static final int MAX_CONTROL_BYTES = 256 << 10;

	private LimitedBody() {
	}

	/**
	 * Reads the body of a worker's response to a call that carries no caller's data.
	 * @param content the content of the response
	 * @return as {@link #read}
	 */
	public static Mono<byte[]> readControl(ByteBufFlux content) {
		return read(content, MAX_CONTROL_BYTES);
	}

	/**
	 * Reads a body.
	 * @param content the content of the response
	 * @param maxBytes the longest body that is read, in bytes
	 * @return the bytes, none if there is no body; signals a {@link BodyTooLongException}
	 * if it is too long
	 */
	public static Mono<byte[]> read(ByteBufFlux content, int maxBytes) {
		return read(content, maxBytes, (bytes) -> false);
	}

	/**
	 * Reads a body that its server has ready, so that it arrives without pauses.
	 * @param content the content of the response
	 * @param maxBytes the longest body that is read, in bytes
	 * @return as {@link #read}; signals an {@link IOException} if it stalls or trickles
	 */
	public static Mono<byte[]> readSteady(ByteBufFlux content, int maxBytes) {
		return Mono.defer(() -> {
			long begunAt = System.nanoTime();
			return read(content, maxBytes, (bytes) -> StallTimeout.remainingMs(bytes,
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunAt)) == 0);
		});
	}

	private static Mono<byte[]> read(ByteBufFlux content, int maxBytes, IntPredicate tooSlow) {
		return Mono.defer(() -> {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			Flux<byte[]> parts = content.asByteArray().handle((b, sink) -> {
				body.writeBytes(b);
				if (body.size() > maxBytes) {
					sink.error(new BodyTooLongException(maxBytes));
				}
				else if (tooSlow.test(body.size())) {
					sink.error(new IOException("The body arrives too slowly."));
				}
			});
			return parts.then(Mono.fromSupplier(body::toByteArray));
		});
	}

}
