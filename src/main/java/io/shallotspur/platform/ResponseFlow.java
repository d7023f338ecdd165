package io.shallotspur.platform;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

import io.shallotspur.transit.FlowGate;

/**
 * Pauses and resumes the reading of a worker's response. Not thread-safe; confined to the
 * event loop.
 * <p>
 * Invariants: while paused, the connection is still read once per
 * {@link FlowGate#MAX_UNREAD_MS}; the connection of a response that has ended is read, as
 * it may serve the next request.
 */
final class ResponseFlow {

	private final VmEventLoop loop;

	private @Nullable Channel connection;

	private boolean paused;

	private boolean ended;

	private Runnable cancelRead = () -> {
	};

	ResponseFlow(VmEventLoop loop) {
		this.loop = loop;
	}

	// The response comes on a connection; a pause that was set before takes effect.
	void connected(@Nullable Channel c) {
		this.connection = c;
		apply();
	}

	void setPaused(boolean newPaused) {
		if (this.paused != newPaused && !this.ended) {
			this.paused = newPaused;
			apply();
		}
	}

	void end() {
		setPaused(false);
		this.ended = true;
	}

	private void apply() {
		this.cancelRead.run();
		Channel c = this.connection;
		if (c == null) {
			return;
		}
		if (this.paused) {
			c.config().setAutoRead(false);
			this.cancelRead = this.loop.schedule(FlowGate.MAX_UNREAD_MS, this::readOnce);
		}
		else if (!c.config().isAutoRead()) {
			c.config().setAutoRead(true);
		}
	}

	private void readOnce() {
		Channel c = this.connection;
		if (c != null && this.paused) {
			c.read();
			apply();
		}
	}

}
