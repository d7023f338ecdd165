package io.shallotspur.node.ledger;

import io.shallotspur.ledger.LedgerLimits;

/**
 * Settings of the ledger on one node. Immutable.
 *
 * @param limits bounds that all nodes share
 * @param storeTimeoutMs after this many milliseconds a call to the store counts as lost
 * @param askTimeoutMs how long a preferred node may take to commit, in milliseconds
 * @param pollMs how often a shard is read again while somebody waits for a key of it, in
 * milliseconds
 * @param peerDownMs how long a preferred node that did not answer is left out, in
 * milliseconds
 * @param resendAgeMs a timed key that is older is taken for a resend when the store
 * cannot be read, in milliseconds
 * @param answerBytes memory for answers that are too large for the record, in bytes
 * @param maxEnds the most ends of attempts that wait for a write of one shard
 * @param endDelayMs how long an end waits for a write that is needed anyway, if nobody
 * waits for it, in milliseconds
 */
public record LedgerSettings(LedgerLimits limits, long storeTimeoutMs, long askTimeoutMs, long pollMs, long peerDownMs,
		long resendAgeMs, long answerBytes, int maxEnds, long endDelayMs) {

	/**
	 * The defaults, with {@link LedgerLimits#DEFAULT}.
	 */
	public static final LedgerSettings DEFAULT = new LedgerSettings(LedgerLimits.DEFAULT, 1_000, 1_000, 1_000, 2_000,
			5_000, 16L * 1024 * 1024, 10_000, 500);

	/**
	 * Returns the same settings with other bounds.
	 * @param limits the bounds
	 * @return new settings
	 */
	public LedgerSettings withLimits(LedgerLimits limits) {
		return new LedgerSettings(limits, this.storeTimeoutMs, this.askTimeoutMs, this.pollMs, this.peerDownMs,
				this.resendAgeMs, this.answerBytes, this.maxEnds, this.endDelayMs);
	}

	/**
	 * Returns the same settings with another patience with the store.
	 * @param storeTimeoutMs how long a call to the store may take, in milliseconds
	 * @return new settings
	 */
	public LedgerSettings withStoreTimeout(long storeTimeoutMs) {
		return new LedgerSettings(this.limits, storeTimeoutMs, this.askTimeoutMs, this.pollMs, this.peerDownMs,
				this.resendAgeMs, this.answerBytes, this.maxEnds, this.endDelayMs);
	}

	/**
	 * Returns the same settings with another delay of ends.
	 * @param endDelayMs how long an end waits for another write, in milliseconds
	 * @return new settings
	 */
	public LedgerSettings withEndDelay(long endDelayMs) {
		return new LedgerSettings(this.limits, this.storeTimeoutMs, this.askTimeoutMs, this.pollMs, this.peerDownMs,
				this.resendAgeMs, this.answerBytes, this.maxEnds, endDelayMs);
	}

}
