package io.shallotspur.util.toml;

/**
 * One thing that is wrong in a file. Immutable.
 *
 * @param file the file
 * @param key the dotted key, with the index of a table in brackets
 * @param what what is wrong with the value
 * @param allowed what would be right
 */
public record Problem(String file, String key, String what, String allowed) {

	@Override
	public String toString() {
		return this.file + ": " + this.key + ": " + this.what + "; allowed: " + this.allowed;
	}

}
