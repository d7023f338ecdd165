package io.shallotspur.node.ledger;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.tinylog.Logger;

import io.shallotspur.ledger.AttemptResult;
import io.shallotspur.ledger.EntryState;
import io.shallotspur.ledger.Intent;
import io.shallotspur.ledger.LedgerEntry;
import io.shallotspur.ledger.ClaimResult;
import io.shallotspur.outcome.RefusalCode;

/**
 * Answers intents for shards that this node writes, as the preferred node or in its
 * place. Confined to the scheduler of the ledger.
 */
final class ShardJudge {

	private final WriterContext ctx;

	private final NodeLiveness liveness;

	private final List<ShardWriter> writers = new ArrayList<>();

	ShardJudge(WriterContext ctx, NodeLiveness liveness) {
		this.ctx = ctx;
		this.liveness = liveness;
		LedgerLayout layout = new LedgerLayout(ctx);
		for (int i = 0; i < ctx.settings().limits().shards(); i++) {
			this.writers.add(new ShardWriter(i, ctx, layout));
		}
	}

	void judge(IntentAsk ask, Consumer<IntentReply> to) {
		if (ask.shard() != this.ctx.settings().limits().shardOf(ask.intent().key(), ask.intent().keyTime())) {
			// A peer with other bounds would look for its keys in other records.
			Logger.warn("[ledger] peer {} has other ledger limits", ask.intent().attempt().node());
			to.accept(IntentReply.of(ReplyKind.UNAVAILABLE));
			return;
		}
		ShardWriter w = this.writers.get(ask.shard());
		w.intend(ask.intent(), this.ctx.now() + ask.budgetMs(), (v) -> reply(w, ask, v, to));
	}

	void end(int shard, AttemptResult e, Runnable done) {
		this.writers.get(shard).end(e, done);
	}

	void unloadIdle() {
		this.writers.forEach(ShardWriter::unload);
	}

	private void reply(ShardWriter w, IntentAsk ask, ClaimResult v, Consumer<IntentReply> to) {
		if (v instanceof ClaimResult.AlreadyClaimed t && t.entry().state() instanceof EntryState.InFlight) {
			inFlight(w, ask, t.entry(), to);
		}
		else {
			to.accept(toReply(v));
		}
	}

	private void inFlight(ShardWriter w, IntentAsk ask, LedgerEntry e, Consumer<IntentReply> to) {
		if (!this.liveness.isAlive(e.attempt().node(), e.attempt().incarnation())) {
			// The node that dispatched is gone and may have run it: nobody will tell
			// how it ended, and callers would wait for their deadlines.
			w.end(new AttemptResult(e.key(), e.attempt(), new EntryState.Unknown()), () -> {
			});
			to.accept(IntentReply.of(ReplyKind.UNKNOWN));
		}
		else if (ask.waitMs() <= 0) {
			to.accept(IntentReply.of(ReplyKind.IN_FLIGHT));
		}
		else {
			Intent i = ask.intent();
			w.watch(i, this.ctx.now() + ask.waitMs(), (v) -> ended(w, ask, v, to));
		}
	}

	private void ended(ShardWriter w, IntentAsk ask, ClaimResult v, Consumer<IntentReply> to) {
		if (v instanceof ClaimResult.Unclaimed) {
			judge(new IntentAsk(ask.shard(), ask.intent(), ask.budgetMs(), 0), to);
		}
		else {
			reply(w, new IntentAsk(ask.shard(), ask.intent(), ask.budgetMs(), 0), v, to);
		}
	}

	private static IntentReply toReply(ClaimResult v) {
		if (v instanceof ClaimResult.Granted) {
			return IntentReply.of(ReplyKind.GRANTED);
		}
		if (v instanceof ClaimResult.Denied d) {
			return (d.code() == RefusalCode.STORE_UNAVAILABLE) ? IntentReply.of(ReplyKind.UNAVAILABLE)
					: new IntentReply(ReplyKind.DENIED, d.code(), null, null);
		}
		if (v instanceof ClaimResult.AlreadyClaimed t) {
			return toReply(t.entry());
		}
		return IntentReply.of(ReplyKind.UNAVAILABLE);
	}

	private static IntentReply toReply(LedgerEntry e) {
		if (e.state() instanceof EntryState.Answered a) {
			return new IntentReply(ReplyKind.ANSWERED, null, a.answer(), e.attempt().node());
		}
		if (e.state() instanceof EntryState.NotStarted) {
			// The asking attempt itself was given up; it cannot come back.
			return IntentReply.of(ReplyKind.UNAVAILABLE);
		}
		return IntentReply.of((e.state() instanceof EntryState.InFlight) ? ReplyKind.IN_FLIGHT : ReplyKind.UNKNOWN);
	}

}
