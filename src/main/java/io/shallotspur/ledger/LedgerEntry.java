package io.shallotspur.ledger;

/**
 * What the ledger knows of one key. Immutable.
 *
 * @param key the digest of the key
 * @param bodyHash hash of what is run under it
 * @param keyTime the time the key carries, or {@link KeyTime#NONE}
 * @param attempt whose claim it is
 * @param state how far it has come
 */
public record LedgerEntry(KeyDigest key, long bodyHash, long keyTime, Attempt attempt, EntryState state) {

	/**
	 * Returns the entry in another state.
	 * @param state the other state
	 * @return a new entry
	 */
	public LedgerEntry withState(EntryState state) {
		return new LedgerEntry(this.key, this.bodyHash, this.keyTime, this.attempt, state);
	}

}
