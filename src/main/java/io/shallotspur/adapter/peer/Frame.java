package io.shallotspur.adapter.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

import io.shallotspur.exc.PeerException;

/**
 * One frame: three MessagePack integers and then the body. Immutable; the array is not
 * copied.
 *
 * @param kind what the frame is for
 * @param id pairs a question with its answers; 0 where there is none
 * @param type the type number of the message, or the demand
 * @param body the message, or empty
 */
record Frame(FrameKind kind, long id, int type, byte[] body) {

	private static final byte[] EMPTY = new byte[0];

	static Frame of(FrameKind kind, long id) {
		return new Frame(kind, id, 0, EMPTY);
	}

	static Frame text(FrameKind kind, long id, String text) {
		return new Frame(kind, id, 0, text.getBytes(StandardCharsets.UTF_8));
	}

	String text() {
		return new String(this.body, StandardCharsets.UTF_8);
	}

	byte[] encode() throws PeerException {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packInt(this.kind.ordinal());
			p.packLong(this.id);
			p.packInt(this.type);
			p.writePayload(this.body);
			return p.toByteArray();
		}
		catch (IOException ex) {
			throw new PeerException("frame cannot be encoded", null, ex);
		}
	}

	static Frame decode(byte[] bytes) throws PeerException {
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
			FrameKind kind = FrameKind.of(u.unpackInt());
			long id = u.unpackLong();
			int type = u.unpackInt();
			int head = (int) u.getTotalReadBytes();
			return new Frame(kind, id, type, Arrays.copyOfRange(bytes, head, bytes.length));
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new PeerException("frame is malformed", null, ex);
		}
	}

}
