package io.shallotspur.cfg;

/**
 * A key that signs resume tokens. Immutable.
 *
 * @param id short name, part of each token
 * @param secret the key
 */
public record ResumeKey(String id, Secret secret) {

	static final int MIN_CHARACTERS = 32;

}
