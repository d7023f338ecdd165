package io.shallotspur.ledger;

/**
 * A claim on an idempotency key that is recorded before the request is dispatched.
 * Immutable.
 *
 * @param key the digest of the key
 * @param bodyHash hash of the content of the request, used to detect reuse of the key for
 * another request
 * @param keyTime the timestamp in the key in milliseconds, or {@link KeyTime#NONE}
 * @param attempt the attempt that claims the key
 */
public record Intent(KeyDigest key, long bodyHash, long keyTime, Attempt attempt) {

	LedgerEntry toEntry() {
		return new LedgerEntry(this.key, this.bodyHash, this.keyTime, this.attempt, new EntryState.InFlight());
	}

}
