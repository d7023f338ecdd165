package io.shallotspur.node.ledger;

import java.nio.charset.StandardCharsets;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.SettingsException;
import io.shallotspur.ledger.LedgerLimits;
import io.shallotspur.port.KvStore;

/**
 * Makes sure that all nodes look for a key in the same record. A node that was set to
 * another number of shards would find none of the keys of the others and run them again;
 * so the layout stands in the store, written once, and a node with another one gets no
 * shard. Confined to the scheduler of the ledger.
 */
final class LedgerLayout {

	private static final String KEY = "ledger/layout";

	private final WriterContext ctx;

	private final String own;

	private boolean confirmed;

	private boolean told;

	LedgerLayout(WriterContext ctx) {
		this.ctx = ctx;
		LedgerLimits l = ctx.settings().limits();
		this.own = l.timedShards() + " timed shards of " + l.timedSlots() + " segments, " + l.untimedShards()
				+ " untimed shards of " + l.untimedSlots() + " segments";
	}

	Mono<Boolean> confirm() {
		if (this.confirmed) {
			return Mono.just(true);
		}
		this.ctx.meter().read();
		return this.ctx.timed(this.ctx.store().get(KEY))
			.map((r) -> new String(r.value(), StandardCharsets.UTF_8))
			.switchIfEmpty(Mono.defer(this::create))
			.flatMap(this::compare);
	}

	private Mono<String> create() {
		this.ctx.meter().write(0);
		byte[] value = this.own.getBytes(StandardCharsets.UTF_8);
		// A conflict or a lost answer fails this load; the next one reads what stands.
		return this.ctx.timed(this.ctx.store().compareAndSwap(KEY, KvStore.ABSENT, value)).map((v) -> this.own);
	}

	private Mono<Boolean> compare(String stored) {
		if (stored.equals(this.own)) {
			this.confirmed = true;
			return Mono.just(true);
		}
		if (!this.told) {
			this.told = true;
			Logger.error("[ledger] The store has {}, the settings say {}. No keyed request is run here.", stored,
					this.own);
		}
		return Mono.error(new SettingsException("the ledger in the store has " + stored, KEY));
	}

}
