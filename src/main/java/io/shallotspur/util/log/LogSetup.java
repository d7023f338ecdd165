package io.shallotspur.util.log;

import java.util.Locale;

import org.tinylog.configuration.Configuration;

/**
 * Sets up tinylog from the settings. Must be called before the first entry is logged;
 * tinylog ignores later changes. The result of a command goes to the output stream, so
 * the log goes to the error stream.
 */
public final class LogSetup {

	private static final String PLAIN_FORMAT = "{date:yyyy-MM-dd'T'HH:mm:ss.SSSXXX} {level|min-size=5} {message}";

	private LogSetup() {
	}

	/**
	 * Sets level and format.
	 * @param level the least severe level that is written, in any case
	 * @param json {@code true} for one JSON object a line, {@code false} for plain text
	 */
	public static void configure(String level, boolean json) {
		Configuration.set("level", level.toLowerCase(Locale.ROOT));
		if (json) {
			Configuration.set("writer", "shallotspur json");
		}
		else {
			Configuration.set("writer", "console");
			Configuration.set("writer.stream", "err");
			Configuration.set("writer.format", PLAIN_FORMAT);
		}
	}

	/**
	 * Has the log written to the output stream, for programs that print no result. A
	 * thread of its own writes, so that a reader of the log that has stopped reading does
	 * not stop the program.
	 * @param level the least severe level that is written, in any case
	 */
	public static void toOutput(String level) {
		Configuration.set("level", level.toLowerCase(Locale.ROOT));
		// Lost connections are told by whoever used them, with the request's id; the
		// libraries would add a stack trace to each.
		Configuration.set("level@io.netty", "error");
		Configuration.set("level@reactor.netty", "off");
		Configuration.set("writingthread", "true");
		Configuration.set("autoshutdown", "true");
		Configuration.set("writer", "console");
		Configuration.set("writer.stream", "out");
		Configuration.set("writer.format", PLAIN_FORMAT);
	}

}
