package io.shallotspur.ledger;

/**
 * Ledger entry of one idempotency key. Immutable.
 *
 * @param key the digest of the key
 * @param bodyHash hash of the content of the request, used to detect reuse of the key for
 * another request
 * @param keyTime the timestamp in the key in milliseconds, or {@link KeyTime#NONE}
 * @param attempt the attempt that holds the claim
 * @param state the state of the request
 */
public record LedgerEntry(KeyDigest key, long bodyHash, long keyTime, Attempt attempt, EntryState state) {

	/**
	 * Returns a copy of this entry with another state.
	 * @param state the new state
	 * @return a new entry
	 */
	public LedgerEntry withState(EntryState state) {
		return new LedgerEntry(this.key, this.bodyHash, this.keyTime, this.attempt, state);
	}

}
