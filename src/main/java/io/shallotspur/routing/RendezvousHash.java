package io.shallotspur.routing;

import java.util.Collection;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

/**
 * Highest-random-weight hashing: each key goes to the candidate with the highest score,
 * so that a candidate that comes or goes moves only its own keys. Stateless and
 * thread-safe.
 */
public final class RendezvousHash {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private RendezvousHash() {
	}

	/**
	 * Returns the score of a candidate for a key.
	 * @param key the key
	 * @param candidate the candidate
	 * @return the score, to be compared as a signed number
	 */
	public static long score(String key, String candidate) {
		return HASH.hashLongs(new long[] { HASH.hashChars(key), HASH.hashChars(candidate) });
	}

	/**
	 * Returns the owner of a key.
	 * @param key the key
	 * @param candidates the candidates
	 * @return the candidate with the highest score, or {@code null} if there is none
	 */
	public static @Nullable String owner(String key, Collection<String> candidates) {
		String best = null;
		long bestScore = 0;
		for (String c : candidates) {
			long s = score(key, c);
			if (best == null || s > bestScore || (s == bestScore && c.compareTo(best) < 0)) {
				best = c;
				bestScore = s;
			}
		}
		return best;
	}

}
