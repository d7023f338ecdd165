package io.shallotspur.node.ledger;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.ledger.AttemptResult;
import io.shallotspur.ledger.Intent;
import io.shallotspur.ledger.KeyDigest;
import io.shallotspur.port.PeerNetwork;

/**
 * Takes intents and ends to the node that is preferred to write their shard, or writes
 * here if that node does not answer. Confined to the scheduler of the ledger.
 */
final class LedgerRouter {

	private final String self;

	private final LedgerSettings settings;

	private final PeerNetwork peers;

	private final ShardOwners owners;

	private final ShardJudge judge;

	private final WriterContext ctx;

	private final Scheduler scheduler;

	private final Map<String, Long> downUntil = new HashMap<>();

	LedgerRouter(String self, WriterContext ctx, PeerNetwork peers, ShardOwners owners, ShardJudge judge,
			Scheduler scheduler) {
		this.self = self;
		this.settings = ctx.settings();
		this.peers = peers;
		this.owners = owners;
		this.judge = judge;
		this.ctx = ctx;
		this.scheduler = scheduler;
	}

	void intend(int shard, Intent i, long deadlineAt, long waitMs, Consumer<IntentReply> to) {
		long left = deadlineAt - this.ctx.now();
		String owner = this.owners.owner(shard);
		if (isHere(owner)) {
			this.judge.judge(new IntentAsk(shard, i, left, waitMs), to);
			return;
		}
		// Half of the time is kept for writing here if the preferred node does not
		// answer.
		long budget = Math.max(1, Math.min(left / 2, this.settings.askTimeoutMs()));
		this.peers.ask(owner, new IntentAsk(shard, i, budget, waitMs), budget + waitMs)
			.publishOn(this.scheduler)
			.cast(IntentReply.class)
			.subscribe((r) -> replied(shard, i, deadlineAt, r, owner, to),
					(ex) -> fallBack(shard, i, deadlineAt, owner, to));
	}

	void end(int shard, AttemptResult e, Runnable done) {
		String owner = this.owners.owner(shard);
		if (isHere(owner)) {
			this.judge.end(shard, e, done);
			return;
		}
		this.peers.ask(owner, EndTold.of(shard, e), this.settings.askTimeoutMs())
			.publishOn(this.scheduler)
			.subscribe((r) -> done.run(), (ex) -> {
				markDown(owner);
				this.judge.end(shard, e, done);
			});
	}

	Mono<AnswerReply> answer(String holder, KeyDigest key, long timeoutMs) {
		return this.peers.ask(holder, new AnswerAsk(key), timeoutMs)
			.cast(AnswerReply.class)
			.onErrorReturn(new AnswerReply(null))
			.defaultIfEmpty(new AnswerReply(null))
			.publishOn(this.scheduler);
	}

	private void replied(int shard, Intent i, long deadlineAt, IntentReply r, String owner, Consumer<IntentReply> to) {
		if (r.kind() == ReplyKind.UNAVAILABLE && this.ctx.now() < deadlineAt) {
			fallBack(shard, i, deadlineAt, owner, to);
		}
		else {
			to.accept(r);
		}
	}

	private void fallBack(int shard, Intent i, long deadlineAt, String owner, Consumer<IntentReply> to) {
		markDown(owner);
		this.judge.judge(new IntentAsk(shard, i, Math.max(1, deadlineAt - this.ctx.now()), 0), to);
	}

	private void markDown(String owner) {
		Logger.debug("[ledger] {} did not answer, writing its shards here", owner);
		this.downUntil.put(owner, this.ctx.now() + this.settings.peerDownMs());
	}

	private boolean isHere(String owner) {
		return owner.equals(this.self) || this.ctx.now() < this.downUntil.getOrDefault(owner, Long.MIN_VALUE);
	}

}
