package io.shallotspur.node;

import java.io.IOException;
import java.io.UncheckedIOException;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

import io.shallotspur.exc.InputException;
import io.shallotspur.port.PlainReply;

/**
 * The form in which the ledger keeps the answer of a plain service: MessagePack of
 * status, media type and body.
 */
final class StoredReply {

	private StoredReply() {
	}

	static byte[] write(PlainReply reply) {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packInt(reply.status());
			p.packString(reply.contentType());
			p.packBinaryHeader(reply.body().length);
			p.writePayload(reply.body());
			return p.toByteArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static PlainReply read(byte[] stored) throws InputException {
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(stored)) {
			int status = u.unpackInt();
			String type = u.unpackString();
			byte[] body = u.readPayload(u.unpackBinaryHeader());
			return new PlainReply(status, type, body);
		}
		catch (IOException ex) {
			throw new InputException("The recorded answer cannot be read.", null, ex);
		}
	}

}
