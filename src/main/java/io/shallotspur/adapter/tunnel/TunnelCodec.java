package io.shallotspur.adapter.tunnel;

import java.io.IOException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The wire format of a tunnel. Stateless.
 * <p>
 * Both directions consist of frames with a length of four bytes. The first frame of each
 * is a MessagePack array: the request and its status. All further frames are bytes to and
 * from the worker. An empty frame says that the worker has closed its connection
 * properly; a tunnel that ends without it has broken off, and with it what came through
 * it.
 */
final class TunnelCodec {

	// A later version may append elements to either array, which this one skips.
	private static final int VERSION = 1;

	private static final int LENGTH_BYTES = 4;

	/** In bytes; as much as is read from a socket at once. */
	static final int MAX_FRAME_BYTES = 64 << 10;

	private TunnelCodec() {
	}

	/**
	 * Adds the frames to an empty pipeline, or before all other handlers.
	 * @param p the pipeline
	 * @param tunnel the handler of the frames
	 */
	static void install(ChannelPipeline p, ChannelHandler tunnel) {
		p.addFirst(new LengthFieldBasedFrameDecoder(LENGTH_BYTES + MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
				new LengthFieldPrepender(LENGTH_BYTES), tunnel);
	}

	static ByteBuf encode(TunnelRequest r) throws IOException {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packArrayHeader(3).packInt(VERSION).packString(r.vm()).packString(r.worker());
			return Unpooled.wrappedBuffer(p.toByteArray());
		}
	}

	static ByteBuf encode(TunnelStatus s) throws IOException {
		try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
			p.packArrayHeader(2).packInt(VERSION).packInt(s.ordinal());
			return Unpooled.wrappedBuffer(p.toByteArray());
		}
	}

	static TunnelRequest decodeRequest(ByteBuf frame) throws IOException {
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(ByteBufUtil.getBytes(frame))) {
			unpackHead(u, 3);
			return new TunnelRequest(u.unpackString(), u.unpackString());
		}
		catch (MessagePackException ex) {
			throw new IOException("The request for a tunnel cannot be read.", ex);
		}
	}

	static TunnelStatus decodeStatus(ByteBuf frame) throws IOException {
		try (MessageUnpacker u = MessagePack.newDefaultUnpacker(ByteBufUtil.getBytes(frame))) {
			unpackHead(u, 2);
			int n = u.unpackInt();
			TunnelStatus[] all = TunnelStatus.values();
			return (n >= 0 && n < all.length) ? all[n] : TunnelStatus.UNAVAILABLE;
		}
		catch (MessagePackException ex) {
			throw new IOException("The status of a tunnel cannot be read.", ex);
		}
	}

	private static void unpackHead(MessageUnpacker u, int elements) throws IOException {
		if (u.unpackArrayHeader() < elements || u.unpackInt() < VERSION) {
			throw new IOException("This is not a message of a tunnel.");
		}
	}

}
