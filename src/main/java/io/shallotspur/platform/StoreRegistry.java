package io.shallotspur.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringEncoder;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.exc.InputException;
import io.shallotspur.exc.StoreHistoryGoneException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Registry;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.RegistryUpdate;
import io.shallotspur.registry.StorePosition;
import io.shallotspur.route.RouteTable;

/**
 * The registry in the platform's store. Confined to the event loop, on which answers
 * come.
 * <p>
 * A write that was sent in one era of the store and answered in another counts as not
 * done: what it rested on, a lease or a revision, may be another one's there.
 */
final class StoreRegistry implements Registry {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int OTHER_REVISION = 412;

	// An answer takes 4 ms; a slow store takes tens of times as long, ms.
	private static final long TIMEOUT_MS = 1_000;

	// Over the wait that was asked for: the way there and back, and a slow store, ms.
	private static final long WATCH_SLACK_MS = 700;

	private static final String ALL = "";

	// What VMs have seen outlasts them: after all were killed the next ones know it.
	private static final long NO_LEASE = 0;

	private final StoreClient client;

	private @Nullable RouteTable configuration;

	private StorePosition configurationPoint = StorePosition.NONE;

	StoreRegistry(Endpoint store, Loop loop) {
		this.client = new StoreClient(store, loop);
	}

	@Override
	public void setRestoreListener(LongConsumer then) {
		this.client.whenRestored(then);
	}

	long era() {
		return this.client.era();
	}

	@Override
	public Mono<RegistryUpdate> list() {
		return page(ALL, new ArrayList<>(), null);
	}

	private Mono<RegistryUpdate> page(String after, List<RegistryChange> sofar, @Nullable StorePosition first) {
		QueryStringEncoder q = new QueryStringEncoder("/api/kv-range");
		q.addParam("prefix", ALL);
		if (!after.isEmpty()) {
			q.addParam("after", after);
		}
		return this.client.call(HttpMethod.GET, q.toString(), null, TIMEOUT_MS).flatMap((r) -> {
			if (r.status() != OK) {
				return Mono.error(refused(r, "range"));
			}
			if (first != null && first.era() != r.era()) {
				return Mono.error(new StoreUnavailableException("The store was restored between two pages.", "range"));
			}
			String last = "";
			for (JsonNode item : r.body().path("items")) {
				EntryDecoder.decode(item, r.era()).ifPresent(sofar::add);
				last = item.path("key").asText();
			}
			// Pages are not of one moment: changes after the first page's revision are
			// asked for again.
			StorePosition point = (first != null) ? first
					: new StorePosition(r.era(), r.body().path("store_revision").asLong());
			if (r.body().path("truncated").asBoolean() && !last.isEmpty()) {
				return page(last, sofar, point);
			}
			return Mono.just(new RegistryUpdate(point, sofar));
		});
	}

	@Override
	public Mono<RegistryUpdate> watch(StorePosition after, long waitMs) {
		QueryStringEncoder q = new QueryStringEncoder("/api/kv-watch");
		q.addParam("prefix", ALL);
		q.addParam("after", Long.toString(after.revision()));
		q.addParam("wait_ms", Long.toString(waitMs));
		return this.client.call(HttpMethod.GET, q.toString(), null, waitMs + WATCH_SLACK_MS).flatMap((r) -> {
			if (r.status() == GONE || r.era() != after.era()) {
				return Mono.error(new StoreHistoryGoneException("The changes since then are gone.", "" + after));
			}
			if (r.status() != OK) {
				return Mono.error(refused(r, "watch"));
			}
			List<RegistryChange> changes = new ArrayList<>();
			for (JsonNode e : r.body().path("events")) {
				EntryDecoder.decode(e, r.era()).ifPresent(changes::add);
			}
			long revision = r.body().path("store_revision").asLong(after.revision());
			return Mono.just(new RegistryUpdate(new StorePosition(r.era(), revision), changes));
		});
	}

	@Override
	public Mono<RouteTable> readConfiguration() {
		return key(Names.CONFIG_KEY).flatMap((r) -> {
			if (r.status() != OK) {
				return Mono.error(refused(r, "key"));
			}
			return Mono.fromCallable(() -> configuration(r.body(), r.era()));
		});
	}

	// Asked for again and again while it stays the same; a large one takes some time to
	// decode.
	private RouteTable configuration(JsonNode item, long era) throws InputException {
		StorePosition p = EntryDecoder.point(item, era);
		RouteTable t = this.configuration;
		if (t == null || !p.equals(this.configurationPoint)) {
			t = EntryDecoder.configuration(item);
			this.configuration = t;
			this.configurationPoint = p;
		}
		return t;
	}

	private Mono<StoreClient.Reply> key(String key) {
		QueryStringEncoder q = new QueryStringEncoder("/api/kv-key");
		q.addParam("key", key);
		return this.client.call(HttpMethod.GET, q.toString(), null, TIMEOUT_MS);
	}

	@Override
	public Mono<Long> openLease(long ttlMs) {
		ObjectNode body = EntryDecoder.JSON.createObjectNode().put("ttl_ms", ttlMs);
		return this.client.call(HttpMethod.POST, "/api/kv-lease", body, TIMEOUT_MS)
			.flatMap((r) -> (r.status() == OK) ? Mono.just(r.body().path("lease").asLong())
					: Mono.error(refused(r, "lease")));
	}

	@Override
	public Mono<Boolean> renewLease(long lease) {
		return this.client.call(HttpMethod.POST, "/api/kv-keep/" + lease, null, TIMEOUT_MS)
			.flatMap((r) -> there(r, "keep"));
	}

	@Override
	public Mono<Void> revokeLease(long lease) {
		return this.client.call(HttpMethod.DELETE, "/api/kv-lease-end/" + lease, null, TIMEOUT_MS).then();
	}

	@Override
	public Mono<Boolean> registerVm(EntryVm vm, long lease) {
		ObjectNode body = emptyChange();
		put(body, vm.key(), EntryDecoder.encode(vm), lease);
		return change(body, "register");
	}

	@Override
	public Mono<Boolean> claimLeadership(String vm, long lease) {
		ObjectNode body = emptyChange();
		expect(body, Names.DUTY_KEY, 0);
		put(body, Names.DUTY_KEY, EntryDecoder.encode(EntryDecoder.JSON.createObjectNode().put("vm", vm)), lease);
		return change(body, "claim");
	}

	@Override
	public Mono<Optional<RegistryChange.LeaderElected>> readLeader() {
		return key(Names.DUTY_KEY).flatMap((r) -> {
			if (r.status() == NOT_FOUND) {
				return Mono.just(Optional.empty());
			}
			if (r.status() != OK) {
				return Mono.error(refused(r, "key"));
			}
			return Mono.fromCallable(() -> Optional.of(EntryDecoder.duty(r.body(), r.era())));
		});
	}

	@Override
	public Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition fence, long lease) {
		if (fence.era() != this.client.era()) {
			return Mono.just(false);
		}
		ObjectNode value = EntryDecoder.JSON.createObjectNode().put("stage", EntryDecoder.encode(stage));
		ObjectNode body = emptyChange();
		expect(body, Names.DUTY_KEY, fence.revision());
		put(body, Names.STAGE_PREFIX + worker, EntryDecoder.encode(value), lease);
		return change(body, "mark");
	}

	@Override
	public Mono<Boolean> publishStats(String upstream, EngineStatistics figures, StorePosition before) {
		if (!before.equals(StorePosition.NONE) && before.era() != this.client.era()) {
			return Mono.just(false);
		}
		String key = Names.FIGURES_PREFIX + upstream;
		ObjectNode body = emptyChange();
		expect(body, key, before.revision());
		put(body, key, EntryDecoder.encode(figures), NO_LEASE);
		return change(body, "tell");
	}

	@Override
	public Mono<Boolean> publishSettled(long era) {
		ObjectNode body = emptyChange();
		ObjectNode value = EntryDecoder.JSON.createObjectNode().put("era", era);
		put(body, Names.SETTLED_KEY, EntryDecoder.encode(value), NO_LEASE);
		return (era == this.client.era()) ? change(body, "settled") : Mono.just(false);
	}

	@Override
	public Mono<Void> withdrawStageChange(String worker) {
		ObjectNode body = emptyChange();
		((ArrayNode) body.path("remove")).add(Names.STAGE_PREFIX + worker);
		return change(body, "unmark").then();
	}

	// A change to several keys, all or none.
	private static ObjectNode emptyChange() {
		ObjectNode body = EntryDecoder.JSON.createObjectNode();
		body.putArray("expected");
		body.putArray("puts");
		body.putArray("remove");
		return body;
	}

	private static void expect(ObjectNode body, String key, long revision) {
		((ArrayNode) body.path("expected")).addObject().put("key", key).put("revision", revision);
	}

	private static void put(ObjectNode body, String key, String value, long lease) {
		((ArrayNode) body.path("puts")).addObject().put("key", key).put("value", value).put("lease", lease);
	}

	private Mono<Boolean> change(ObjectNode body, String what) {
		boolean begun = this.client.begun();
		long era = this.client.era();
		return this.client.call(HttpMethod.POST, "/api/kv-txn", body, TIMEOUT_MS).flatMap((r) -> {
			if (r.era() == era || !begun) {
				return there(r, what);
			}
			Logger.info("[store] write across a restore call={} sent={} answered={}", what, era, r.era());
			return Mono.just(false);
		});
	}

	private static Mono<Boolean> there(StoreClient.Reply r, String call) {
		return switch (r.status()) {
			case OK -> Mono.just(true);
			case NOT_FOUND, OTHER_REVISION -> Mono.just(false);
			default -> Mono.error(refused(r, call));
		};
	}

	private static StoreUnavailableException refused(StoreClient.Reply r, String call) {
		return new StoreUnavailableException("The store refused the call with status " + r.status() + ".", call);
	}

}
