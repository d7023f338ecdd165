package io.shallotspur.node.forward;

import io.shallotspur.outcome.Outcome;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.port.PeerMessage;

/**
 * The end of a forwarded request without a whole answer. Immutable.
 *
 * @param code why, the name of a {@link RefusalCode}
 * @param outcome whether it was run, the name of an {@link Outcome}
 * @param detail a sentence for the caller
 * @param retryAfterMs when to come back, in milliseconds, or 0
 */
public record ForwardRefused(String code, String outcome, String detail, long retryAfterMs) implements PeerMessage {

	/**
	 * Creates the message for a refusal.
	 * @param r the refusal
	 * @return the message
	 */
	public static ForwardRefused of(Refusal r) {
		return new ForwardRefused(r.code().name(), r.outcome().name(), r.detail(), r.retryAfterMs());
	}

	/**
	 * Returns the refusal. A peer of another version may know codes that this one does
	 * not; such a request may have been run.
	 * @return the refusal
	 */
	public Refusal toRefusal() {
		try {
			return new Refusal(RefusalCode.valueOf(this.code), Outcome.valueOf(this.outcome), this.detail,
					this.retryAfterMs);
		}
		catch (IllegalArgumentException ex) {
			return Refusal.outcomeUnknown(RefusalCode.OUTCOME_UNKNOWN, this.detail);
		}
	}

}
