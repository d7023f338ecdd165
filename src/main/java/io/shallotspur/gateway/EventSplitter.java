package io.shallotspur.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of server-sent events into whole events. Not thread-safe.
 * <p>
 * A worker may die in the middle of an event. Bytes that were relayed at once could not
 * be taken back, and the rest of the stream, resumed at another worker, would be joined
 * to half an event. So only whole events leave here.
 */
final class EventSplitter {

	private static final int MAX_EVENT_BYTES = 1 << 20;

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	private boolean lineEmpty = true;

	private boolean hasContent;

	/**
	 * Takes bytes of the stream.
	 * @param bytes the bytes
	 * @return the events that are whole now, each with its closing empty line
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
	 * Forgets a part of an event, before another worker's stream goes on.
	 */
	void reset() {
		this.pending.reset();
		this.lineEmpty = true;
		this.hasContent = false;
	}

	/**
	 * Tells whether the last event is not whole.
	 * @return {@code true} if bytes wait for the end of their event
	 */
	boolean hasPartialEvent() {
		return this.hasContent;
	}

	/**
	 * Tells whether an event is longer than any sender may make it.
	 * @return {@code true} if the pending event passes one megabyte
	 */
	boolean exceedsMaxSize() {
		return this.pending.size() > MAX_EVENT_BYTES;
	}

	/**
	 * Returns the id of an event.
	 * @param event a whole event
	 * @return its id, or an empty text if it has none
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
