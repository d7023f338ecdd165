package io.shallotspur.routing;

import java.util.Collection;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

/**
 * Rendezvous (highest random weight) hashing: each key is owned by the candidate with the
 * highest score, so that adding or removing a candidate moves only the keys of that
 * candidate. Stateless and thread-safe.
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
	 * @return the candidate with the highest score, or {@code null} if there are no
	 * candidates
	 */
	public static @Nullable String owner(String key, Collection<String> candidates) {
		String best = null;
		long bestScore = 0;
		for (String candidate : candidates) {
			long score = score(key, candidate);
			if (best == null || score > bestScore || (score == bestScore && candidate.compareTo(best) < 0)) {
				best = candidate;
				bestScore = score;
			}
		}
		return best;
	}

}
