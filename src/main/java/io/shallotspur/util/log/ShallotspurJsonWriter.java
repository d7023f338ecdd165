package io.shallotspur.util.log;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * Writes each log entry as one JSON object on the error stream, with {@code time},
 * {@code level}, {@code part} (the prefix of the message, if it has one) and
 * {@code message}. Thread-safe: an entry is written by one call.
 */
public final class ShallotspurJsonWriter implements Writer {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final PrintStream stream;

	/**
	 * Creates a writer; called by tinylog.
	 * @param properties the settings of the writer, of which it has none
	 */
	public ShallotspurJsonWriter(Map<String, String> properties) {
		this(System.err);
	}

	ShallotspurJsonWriter(PrintStream stream) {
		this.stream = stream;
	}

	@Override
	public Collection<LogEntryValue> getRequiredLogEntryValues() {
		return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION);
	}

	@Override
	public void write(LogEntry entry) throws IOException {
		ObjectNode n = MAPPER.createObjectNode();
		n.put("time", entry.getTimestamp().toInstant().toString());
		n.put("level", entry.getLevel().name());
		String m = (entry.getMessage() != null) ? entry.getMessage() : "";
		int end = m.indexOf(']');
		if (m.startsWith("[") && end > 0) {
			n.put("part", m.substring(1, end));
			m = m.substring(end + 1).strip();
		}
		n.put("message", m);
		if (entry.getException() != null) {
			n.put("exception", entry.getException().toString());
		}
		this.stream.println(MAPPER.writeValueAsString(n));
	}

	@Override
	public void flush() {
		this.stream.flush();
	}

	@Override
	public void close() {
		this.stream.flush();
	}

}
