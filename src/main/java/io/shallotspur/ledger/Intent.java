package io.shallotspur.ledger;

/**
 * The wish to run a request. Immutable.
 *
 * @param key the digest of the key
 * @param bodyHash hash of what is to be run
 * @param keyTime the time the key carries, or {@link KeyTime#NONE}
 * @param attempt the claim made for it
 */
public record Intent(KeyDigest key, long bodyHash, long keyTime, Attempt attempt) {

	LedgerEntry toEntry() {
		return new LedgerEntry(this.key, this.bodyHash, this.keyTime, this.attempt, new EntryState.InFlight());
	}

}
