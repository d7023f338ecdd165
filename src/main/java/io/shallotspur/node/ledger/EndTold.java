package io.shallotspur.node.ledger;

import org.jspecify.annotations.Nullable;

import io.shallotspur.ledger.Attempt;
import io.shallotspur.ledger.AttemptResult;
import io.shallotspur.ledger.EntryState;
import io.shallotspur.ledger.KeyDigest;
import io.shallotspur.port.PeerMessage;

/**
 * Tells the preferred node of a shard how an attempt ended. Immutable; the array is not
 * copied.
 *
 * @param shard the shard
 * @param key the digest of the key
 * @param attempt the attempt
 * @param kind {@link ReplyKind#ANSWERED}, {@link ReplyKind#UNKNOWN}, or
 * {@link ReplyKind#DENIED} if it surely was not run
 * @param answer the answer, if it is small enough for the record
 */
public record EndTold(int shard, KeyDigest key, Attempt attempt, ReplyKind kind,
		byte @Nullable [] answer) implements PeerMessage {

	/**
	 * The type number of this message.
	 */
	public static final int TYPE = 62;

	static EndTold of(int shard, AttemptResult e) {
		if (e.state() instanceof EntryState.Answered a) {
			return new EndTold(shard, e.key(), e.attempt(), ReplyKind.ANSWERED, a.answer());
		}
		ReplyKind k = (e.state() instanceof EntryState.Unknown) ? ReplyKind.UNKNOWN : ReplyKind.DENIED;
		return new EndTold(shard, e.key(), e.attempt(), k, null);
	}

	AttemptResult toEnd() {
		EntryState s = switch (this.kind) {
			case ANSWERED -> new EntryState.Answered(this.answer);
			case DENIED -> new EntryState.NotStarted();
			default -> new EntryState.Unknown();
		};
		return new AttemptResult(this.key, this.attempt, s);
	}

}
