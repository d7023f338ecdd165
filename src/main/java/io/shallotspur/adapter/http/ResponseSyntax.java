package io.shallotspur.adapter.http;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.ReferenceCountUtil;
import reactor.netty.NettyPipeline;

/**
 * Fails calls whose responses are malformed by the grammar of HTTP/1.1. The decoder is
 * lenient: it accepts the status 000, reads the line {@code X other: 1} as the field
 * {@code X: 1}, and takes a chunk of the size {@code 0 400} for the last one. Confined to
 * the connection's event loop.
 * <p>
 * Invariants: a malformed head is never passed on as a response; nothing that follows a
 * malformed byte is decoded, and its connection is closed.
 */
final class ResponseSyntax {

	private final ResponseHeadGrammar head = new ResponseHeadGrammar();

	private final ChunkGrammar chunks = new ChunkGrammar();

	private boolean inHead;

	private boolean inChunks;

	private boolean malformed;

	private ResponseSyntax() {
	}

	/**
	 * Adds the check to the connection of a client of HTTP/1.1.
	 * @param p the pipeline, which has the client's decoder
	 */
	static void install(ChannelPipeline p) {
		ResponseSyntax syntax = new ResponseSyntax();
		p.addBefore(NettyPipeline.HttpCodec, null, syntax.new Bytes());
		p.addAfter(NettyPipeline.HttpCodec, null, syntax.new Messages());
	}

	private void fail(ChannelHandlerContext ctx, MalformedResponseException ex) {
		this.malformed = true;
		ctx.fireExceptionCaught(ex);
		ctx.close();
	}

	/**
	 * Sees what arrives, before it is decoded.
	 */
	private final class Bytes extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object msg) {
			ByteBuf bytes = (ByteBuf) msg;
			try {
				if (!ResponseSyntax.this.malformed) {
					read(ctx, bytes);
				}
			}
			catch (MalformedResponseException ex) {
				fail(ctx, ex);
			}
			finally {
				bytes.release();
			}
		}

		// Whether chunks follow is known once the decoder has seen the head.
		private void read(ChannelHandlerContext ctx, ByteBuf bytes) throws MalformedResponseException {
			if (ResponseSyntax.this.inHead) {
				int end = readHeads(bytes);
				ctx.fireChannelRead(bytes.readRetainedSlice(end - bytes.readerIndex()));
			}
			if (bytes.isReadable() && !ResponseSyntax.this.malformed) {
				readChunks(bytes);
				ctx.fireChannelRead(bytes.retain());
			}
		}

		private int readHeads(ByteBuf bytes) throws MalformedResponseException {
			ResponseHeadGrammar head = ResponseSyntax.this.head;
			int i = bytes.readerIndex();
			while (ResponseSyntax.this.inHead && i < bytes.writerIndex()) {
				int stop = bytes.forEachByte(i, bytes.writerIndex() - i, head);
				if (stop < 0) {
					return bytes.writerIndex();
				}
				i = stop + 1;
				if (head.isMalformed()) {
					throw MalformedResponseException.at(bytes, i);
				}
				ResponseSyntax.this.inHead = head.isInterim();
				head.reset();
			}
			return i;
		}

		private void readChunks(ByteBuf bytes) throws MalformedResponseException {
			if (!ResponseSyntax.this.inChunks) {
				return;
			}
			int end = ResponseSyntax.this.chunks.read(bytes, bytes.readerIndex());
			if (ResponseSyntax.this.chunks.isMalformed()) {
				throw MalformedResponseException.at(bytes, end);
			}
			ResponseSyntax.this.inChunks = !ResponseSyntax.this.chunks.isWhole();
		}

	}

	/**
	 * Sees the requests, each of which a head follows, and the decoded heads.
	 */
	private final class Messages extends ChannelDuplexHandler {

		@Override
		public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
			if (msg instanceof HttpRequest) {
				ResponseSyntax.this.inHead = true;
				ResponseSyntax.this.inChunks = false;
				ResponseSyntax.this.head.reset();
			}
			ctx.write(msg, promise);
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object msg) {
			if (msg instanceof HttpResponse r && r.decoderResult().isSuccess()) {
				checkTransferEncoding(ctx, r);
			}
			if (ResponseSyntax.this.malformed) {
				ReferenceCountUtil.release(msg);
				return;
			}
			ctx.fireChannelRead(msg);
		}

		// Without a TE field in the request, a server may use no other transfer coding.
		private void checkTransferEncoding(ChannelHandlerContext ctx, HttpResponse r) {
			List<String> codings = r.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
			if (codings.isEmpty()) {
				return;
			}
			if (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
				fail(ctx, MalformedResponseException.transferEncoding(codings));
				return;
			}
			ResponseSyntax.this.inChunks = WholeResponses.hasBody(r.status().code());
			ResponseSyntax.this.chunks.reset();
		}

	}

}
