package io.shallotspur.adapter.admin;

import java.io.ByteArrayOutputStream;

import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.ContractInvalidException;

/**
 * Reads a body up to a limit, so that a large one cannot hold memory. Stateless.
 */
final class BodyReader {

	private BodyReader() {
	}

	static Mono<byte[]> read(Flux<byte[]> chunks, int limit, String customer) {
		return chunks.<ByteArrayOutputStream>reduceWith(ByteArrayOutputStream::new, (buffer, chunk) -> {
			if (buffer.size() + chunk.length <= limit) {
				buffer.writeBytes(chunk);
				return buffer;
			}
			throw Exceptions.propagate(new ContractInvalidException("the body is over " + limit + " bytes", customer));
		}).map(ByteArrayOutputStream::toByteArray);
	}

}
