package io.shallotspur.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events. Not thread-safe.
 * <p>
 * A worker may fail in the middle of an event. A partial event that was already relayed
 * could not be retracted, and the stream resumed at another worker would be appended to
 * it. Only complete events are therefore returned.
 */
final class EventSplitter {

	private static final int MAX_EVENT_BYTES = 1 << 20;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	private boolean hasContent;

	/**
	 * Appends bytes of the stream.
	 * @param bytes the bytes
	 * @return the events completed by these bytes, each with its terminating empty line
	 */
	List<byte[]> append(byte[] bytes) {
		List<byte[]> events = new ArrayList<>();
		for (byte b : bytes) {
			this.pending.write(b);
			if (b == '\n') {
				endLine(events);
			}
			else if (b != '\r') {
				this.lineEmpty = false;
				this.hasContent = true;
			}
		}
		return events;
	}

	private void endLine(List<byte[]> events) {
		if (this.lineEmpty && this.hasContent) {
			events.add(this.pending.toByteArray());
			reset();
		}
		this.lineEmpty = true;
	}

	/**
	 * Discards a partial event, before the stream resumes at another worker.
	 */
	void reset() {
		this.pending.reset();
		this.lineEmpty = true;
		this.hasContent = false;
	}

	/**
	 * Returns whether the stream ends with a partial event.
	 * @return {@code true} if bytes of an incomplete event are pending
	 */
	boolean hasPartialEvent() {
		return this.hasContent;
	}

	/**
	 * Returns whether the pending event exceeds the maximum size.
	 * @return {@code true} if the pending event exceeds one megabyte
	 */
	boolean exceedsMaxSize() {
		return this.pending.size() > MAX_EVENT_BYTES;
	}

	/**
	 * Returns the id of an event.
	 * @param event a complete event
	 * @return its id, or an empty string if it has none
	 */
	static String eventId(byte[] event) {
		for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith("id:")) {
				return line.substring("id:".length()).strip();
			}
		}
		return "";
	}

}
