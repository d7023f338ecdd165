package io.shallotspur.adapter.caller;

/**
 * Limits of the callers' HTTP. Immutable; a change makes a new instance.
 *
 * @param host the address to listen on
 * @param port the port, or 0 for any that is free
 * @param maxHeaderBytes the most bytes of all headers together
 * @param maxLineBytes the most bytes of the request line
 * @param maxBodyBytes the most bytes of a request body
 * @param maxAnswerBytes the most bytes of an answer that is not streamed
 * @param maxConnections the most connections at a time; further ones are closed at once
 * @param idleTimeoutMs after this many milliseconds without a request a connection is
 * closed
 * @param readTimeoutMs after this many milliseconds without a byte of a request body the
 * connection is closed
 * @param requestTimeoutMs a request has to arrive within this many milliseconds
 * @param writeStallMs a caller that takes no byte for so many milliseconds is cut off
 * @param writeBufferBytes the most bytes held for a caller that reads slowly
 */
public record CallerSettings(String host, int port, int maxHeaderBytes, int maxLineBytes, int maxBodyBytes,
		int maxAnswerBytes, int maxConnections, long idleTimeoutMs, long readTimeoutMs, long requestTimeoutMs,
		long writeStallMs, int writeBufferBytes) {

	/**
	 * Returns the defaults: 127.0.0.1, any port, 16 KiB of headers, 4 KiB request line, 2
	 * MiB bodies, 8 MiB answers, 20,000 connections, 60 s idle, 10 s between reads, 30 s
	 * for a request, 10 s of write stall, 64 KiB per slow caller.
	 * @return the defaults
	 */
	public static CallerSettings defaults() {
		return new Builder().build();
	}

	/**
	 * Begins a change.
	 * @return a builder that has the values of this instance
	 */
	public Builder toBuilder() {
		return new Builder(this);
	}

	/**
	 * Builds settings. Not thread-safe.
	 */
	public static final class Builder {

		private String host = "127.0.0.1";

		private int port;

		private int maxHeaderBytes = 16 * 1024;

		private int maxLineBytes = 4 * 1024;

		private int maxBodyBytes = 2 * 1024 * 1024;

		private int maxAnswerBytes = 8 * 1024 * 1024;

		private int maxConnections = 20_000;

		private long idleTimeoutMs = 60_000;

		private long readTimeoutMs = 10_000;

		private long requestTimeoutMs = 30_000;

		private long writeStallMs = 10_000;

		private int writeBufferBytes = 64 * 1024;

		/**
		 * Creates a builder that has the defaults.
		 */
		public Builder() {
		}

		private Builder(CallerSettings s) {
			this.host = s.host;
			this.port = s.port;
			this.maxHeaderBytes = s.maxHeaderBytes;
			this.maxLineBytes = s.maxLineBytes;
			this.maxBodyBytes = s.maxBodyBytes;
			this.maxAnswerBytes = s.maxAnswerBytes;
			this.maxConnections = s.maxConnections;
			this.idleTimeoutMs = s.idleTimeoutMs;
			this.readTimeoutMs = s.readTimeoutMs;
			this.requestTimeoutMs = s.requestTimeoutMs;
			this.writeStallMs = s.writeStallMs;
			this.writeBufferBytes = s.writeBufferBytes;
		}

		/**
		 * Sets where to listen.
		 * @param host the address
		 * @param port the port, or 0 for any that is free
		 * @return this builder
		 */
		public Builder listen(String host, int port) {
			this.host = host;
			this.port = port;
			return this;
		}

		/**
		 * Sets the limits of the request head.
		 * @param headers the most bytes of all headers
		 * @param line the most bytes of the request line
		 * @return this builder
		 */
		public Builder maxHead(int headers, int line) {
			this.maxHeaderBytes = headers;
			this.maxLineBytes = line;
			return this;
		}

		/**
		 * Sets the limit of a request body.
		 * @param bytes the most bytes
		 * @return this builder
		 */
		public Builder maxBodyBytes(int bytes) {
			this.maxBodyBytes = bytes;
			return this;
		}

		/**
		 * Sets the limit of an answer that is not streamed.
		 * @param bytes the most bytes
		 * @return this builder
		 */
		public Builder maxAnswerBytes(int bytes) {
			this.maxAnswerBytes = bytes;
			return this;
		}

		/**
		 * Sets the limit of connections.
		 * @param connections the most at a time
		 * @return this builder
		 */
		public Builder maxConnections(int connections) {
			this.maxConnections = connections;
			return this;
		}

		/**
		 * Sets the timeouts of the receiving side.
		 * @param idleMs without a request, in milliseconds
		 * @param readMs without a byte of a request body, in milliseconds
		 * @param requestMs for a whole request, in milliseconds
		 * @return this builder
		 */
		public Builder timeouts(long idleMs, long readMs, long requestMs) {
			this.idleTimeoutMs = idleMs;
			this.readTimeoutMs = readMs;
			this.requestTimeoutMs = requestMs;
			return this;
		}

		/**
		 * Sets what is held for a caller that reads slowly, and for how long.
		 * @param stallMs without a byte taken, in milliseconds
		 * @param bufferBytes the most bytes held
		 * @return this builder
		 */
		public Builder slowReaders(long stallMs, int bufferBytes) {
			this.writeStallMs = stallMs;
			this.writeBufferBytes = bufferBytes;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return the settings
		 */
		public CallerSettings build() {
			return new CallerSettings(this.host, this.port, this.maxHeaderBytes, this.maxLineBytes, this.maxBodyBytes,
					this.maxAnswerBytes, this.maxConnections, this.idleTimeoutMs, this.readTimeoutMs,
					this.requestTimeoutMs, this.writeStallMs, this.writeBufferBytes);
		}

	}

}
