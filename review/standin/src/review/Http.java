package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads HTTP/1.1 messages from a stream of bytes. */
final class Http {

	private Http() {
	}

	/**
	 * Reads a line up to its line feed.
	 * @return the line, or {@code null} if the stream has ended before it
	 */
	static String line(InputStream in) throws IOException {
		ByteArrayOutputStream b = new ByteArrayOutputStream();
		while (true) {
			int c = in.read();
			if (c < 0) {
				if (b.size() == 0) {
					return null;
				}
				throw new EOFException("ended within a line");
			}
			if (c == '\n') {
				return b.toString(StandardCharsets.ISO_8859_1);
			}
			if (c != '\r') {
				b.write(c);
			}
		}
	}

	static Message read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		List<String> fields = new ArrayList<>();
		for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
			fields.add(l);
		}
		Message m = new Message(first, fields, new byte[0]);
		if (m.field("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
			return new Message(first, fields, chunks(in));
		}
		int length = Integer.parseInt(m.field("Content-Length", "0"));
		byte[] body = in.readNBytes(length);
		if (body.length < length) {
			throw new EOFException("ended after " + body.length + " of " + length + " bytes of the body");
		}
		return new Message(first, fields, body);
	}

	private static byte[] chunks(InputStream in) throws IOException {
		ByteArrayOutputStream b = new ByteArrayOutputStream();
		while (true) {
			String size = line(in);
			if (size == null) {
				throw new EOFException("ended after " + b.size() + " bytes of a chunked body");
			}
			int n = Integer.parseInt(size.split(";")[0].strip(), 16);
			byte[] chunk = in.readNBytes(n);
			if (chunk.length < n) {
				throw new EOFException("ended after " + (b.size() + chunk.length) + " bytes of a chunked body");
			}
			b.writeBytes(chunk);
			line(in);
			if (n == 0) {
				return b.toByteArray();
			}
		}
	}

	/** A request or a response. */
	record Message(String first, List<String> fields, byte[] body) {

		String field(String name, String dflt) {
			for (String f : this.fields) {
				int i = f.indexOf(':');
				if (i > 0 && f.substring(0, i).equalsIgnoreCase(name)) {
					return f.substring(i + 1).strip();
				}
			}
			return dflt;
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String path() {
			return this.first.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

	}

}
