package io.shallotspur.platform;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;

/**
 * The connections of callers and what is owed on them. Confined to the event loop.
 * <p>
 * A connection is owed an answer from when the head of a request is read until the kernel
 * has taken the last byte of the answer.
 */
final class CallerConnections {

	// More than the kernel allows.
	private static final int LAST_SEND_BUFFER_BYTES = 16 << 20;

	private final Set<Channel> open = new HashSet<>();

	private long openedCount;

	// The number of requests that have not ended; none if there is no entry.
	private final Map<Channel, Integer> requests = new HashMap<>();

	/**
	 * Adds a connection, which is removed when it closes.
	 * @param c a new connection
	 */
	void opened(Channel c) {
		this.openedCount++;
		this.open.add(c);
		c.closeFuture().addListener((f) -> {
			this.open.remove(c);
			this.requests.remove(c);
		});
	}

	/**
	 * Records that the head of a request was read.
	 * @param c the connection
	 * @return to be run once, when the answer was handed to the connection or there will
	 * be none
	 */
	Runnable requestRead(Channel c) {
		if (!this.open.contains(c)) {
			return () -> {
			};
		}
		this.requests.merge(c, 1, Integer::sum);
		return () -> this.requests.computeIfPresent(c, (k, n) -> (n > 1) ? n - 1 : null);
	}

	private boolean isOwed(Channel c) {
		return this.requests.containsKey(c) || PendingWrites.of(c).bytes() > 0;
	}

	/**
	 * Lets the kernel take over what callers have not read yet. It delivers that also
	 * after this process has ended.
	 */
	void growSendBuffers() {
		this.open.stream()
			.filter((c) -> PendingWrites.of(c).bytes() > 0)
			.forEach((c) -> c.config().setOption(ChannelOption.SO_SNDBUF, LAST_SEND_BUFFER_BYTES));
	}

	/**
	 * Closes all connections, whatever is owed on them.
	 */
	void closeAll() {
		List.copyOf(this.open).forEach(Channel::close);
	}

	/**
	 * Returns how many connections were opened so far.
	 * @return the number, including those that are closed
	 */
	long openedCount() {
		return this.openedCount;
	}

	int openCount() {
		return this.open.size();
	}

	int owedCount() {
		return (int) this.open.stream().filter(this::isOwed).count();
	}

	/**
	 * Returns what was handed to the connections and not taken by the kernel.
	 * @return bytes
	 */
	long unwrittenBytes() {
		return this.open.stream().mapToLong((c) -> PendingWrites.of(c).bytes()).sum();
	}

}
