package io.shallotspur.adapter.peer;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import reactor.netty.Connection;

import io.shallotspur.exc.PeerException;

/**
 * Writes frames to one connection through a queue bounded in bytes. Thread-safe.
 */
final class FrameWriter {

	private static final int PREFIX_BYTES = 4;

	private static final int HANDSHAKE_LIMIT = 1024;

	private static final String DECODER = "peerFrames";

	private final Connection connection;

	private final Channel channel;

	private final int maxFrameBytes;

	private final PeerTraffic traffic;

	FrameWriter(Connection connection, PeerSettings settings, PeerTraffic traffic) {
		this.connection = connection;
		this.channel = connection.channel();
		this.maxFrameBytes = settings.maxFrameBytes();
		this.traffic = traffic;
		int high = settings.sendQueueBytes();
		this.channel.config().setWriteBufferWaterMark(new WriteBufferWaterMark(high / 2, high));
		connection.addHandlerLast(DECODER, decoder(Math.min(HANDSHAKE_LIMIT, settings.maxFrameBytes())));
		connection.addHandlerLast("peerPrefix", new LengthFieldPrepender(PREFIX_BYTES));
	}

	/**
	 * Lets large frames in. Until the handshake is done a stranger can make this VM hold
	 * one small frame at most.
	 */
	void raiseLimit() {
		this.connection.replaceHandler(DECODER, decoder(this.maxFrameBytes));
	}

	private static LengthFieldBasedFrameDecoder decoder(int limit) {
		return new LengthFieldBasedFrameDecoder(limit, 0, PREFIX_BYTES, 0, PREFIX_BYTES);
	}

	/**
	 * Queues a frame.
	 * @param f the frame
	 * @throws PeerException if it is too large or the queue is full; it is surely not
	 * sent then
	 */
	void write(Frame f) throws PeerException {
		byte[] bytes = f.encode();
		if (bytes.length > this.maxFrameBytes) {
			throw new PeerException("message of " + bytes.length + " bytes is over the limit", null);
		}
		if (!this.channel.isActive()) {
			throw new PeerException("connection ended", null);
		}
		// A peer that reads slowly or not at all would let the queue grow until this VM
		// is out of memory. The bound turns that into an error of the one call.
		if (!this.channel.isWritable()) {
			this.traffic.dropped();
			throw new PeerException("send queue is full", null);
		}
		this.traffic.sent(messageType(f), bytes.length);
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
	}

	/**
	 * Writes a last frame if there is room, and closes the connection.
	 * @param reason what the peer is told
	 */
	void reject(String reason) {
		try {
			write(Frame.text(FrameKind.REJECT, 0, reason));
		}
		catch (PeerException ex) {
			// The peer learns of the close, if not of the reason.
		}
		this.channel.eventLoop().execute(this.channel::close);
	}

	static int messageType(Frame f) {
		return switch (f.kind()) {
			case ASK, STREAM, ANSWER, SEND -> f.type();
			default -> 0;
		};
	}

}
