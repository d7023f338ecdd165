package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer, so that the stand-ins need no library. */
final class Json {

	private final String text;

	private int pos;

	private Json(String text) {
		this.text = text;
	}

	static Object parse(String text) {
		return new Json(text).value();
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.pos))) {
			this.pos++;
		}
		return this.text.charAt(this.pos);
	}

	private Object value() {
		char c = next();
		if (c == '{') {
			return object();
		}
		if (c == '[') {
			return array();
		}
		if (c == '"') {
			return string();
		}
		int from = this.pos;
		while (this.pos < this.text.length() && ",]}".indexOf(this.text.charAt(this.pos)) < 0
				&& !Character.isWhitespace(this.text.charAt(this.pos))) {
			this.pos++;
		}
		String word = this.text.substring(from, this.pos);
		return switch (word) {
			case "true" -> Boolean.TRUE;
			case "false" -> Boolean.FALSE;
			case "null" -> null;
			default -> Double.valueOf(word);
		};
	}

	private Map<String, Object> object() {
		Map<String, Object> m = new LinkedHashMap<>();
		this.pos++;
		while (next() != '}') {
			if (next() == ',') {
				this.pos++;
				next();
			}
			String key = string();
			next();
			this.pos++;
			m.put(key, value());
		}
		this.pos++;
		return m;
	}

	private List<Object> array() {
		List<Object> l = new ArrayList<>();
		this.pos++;
		while (next() != ']') {
			if (next() == ',') {
				this.pos++;
			}
			l.add(value());
		}
		this.pos++;
		return l;
	}

	private String string() {
		StringBuilder b = new StringBuilder();
		this.pos++;
		while (this.text.charAt(this.pos) != '"') {
			char c = this.text.charAt(this.pos++);
			if (c == '\\') {
				c = this.text.charAt(this.pos++);
				switch (c) {
					case 'n' -> c = '\n';
					case 't' -> c = '\t';
					case 'r' -> c = '\r';
					case 'u' -> {
						c = (char) Integer.parseInt(this.text.substring(this.pos, this.pos + 4), 16);
						this.pos += 4;
					}
					default -> {
					}
				}
			}
			b.append(c);
		}
		this.pos++;
		return b.toString();
	}

	static String quote(String s) {
		return '"' + s.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n") + '"';
	}

}
