package io.shallotspur.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import io.shallotspur.exc.StoreResponseTooLongException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.registry.Registry;
import io.shallotspur.registry.RegistryChange;
import io.shallotspur.registry.RegistryUpdate;
import io.shallotspur.registry.StorePosition;
import io.shallotspur.registry.SuspectReport;
import io.shallotspur.route.RouteTable;

/**
 * Registry backed by the platform's store. Confined to the event loop, on which responses
 * are delivered.
 * <p>
 * A write that was sent in one era of the store and answered in another counts as failed:
 * the lease or revision it relied on may belong to something else in the new era.
 */
final class StoreRegistry implements Registry {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private static final int PRECONDITION_FAILED = 412;

	// In ms. A response normally takes 4 ms; a slow store takes tens of times as long.
	private static final long TIMEOUT_MS = 1_000;

	// In ms, on top of the requested wait: network round trip and slow responses of the
	// store.
	private static final long WATCH_MARGIN_MS = 700;

	private static final String ALL_KEYS = "";

	private static final String REVISION = "store_revision";

	// In bytes. A shorter history is read even if it is longer than a listing.
	private static final int MIN_HISTORY_BYTES = 64 << 10;

	// Entries without a lease outlive the VM that wrote them, so VMs that start after all
	// others were killed can read them.
	private static final long NO_LEASE = 0;

	private final StoreClient client;

	// The length of the last listing, in bytes.
	private long listingBytes;

	private @Nullable RouteTable configuration;

	private StorePosition decodedAt = StorePosition.NONE;

	StoreRegistry(Endpoint store, VmEventLoop loop) {
		this.client = new StoreClient(store, loop);
	}

	@Override
	public void setRestoreListener(LongConsumer listener) {
		this.client.onRestored(listener);
	}

	long era() {
		return this.client.era();
	}

	@Override
	public Mono<RegistryUpdate> list() {
		return readPage(ALL_KEYS, new ArrayList<>(), null, 0);
	}

	private Mono<RegistryUpdate> readPage(String after, List<RegistryChange> collected, @Nullable StorePosition first,
			long bytesBefore) {
		QueryStringEncoder q = new QueryStringEncoder("/api/kv-range");
		q.addParam("prefix", ALL_KEYS);
		if (!after.isEmpty()) {
			q.addParam("after", after);
		}
		return this.client.call(HttpMethod.GET, q.toString(), null, TIMEOUT_MS)
			.flatMap((r) -> addPage(r, after, collected, first, bytesBefore));
	}

	private Mono<RegistryUpdate> addPage(StoreClient.Reply r, String after, List<RegistryChange> collected,
			@Nullable StorePosition first, long bytesBefore) {
		if (r.status() != OK) {
			return Mono.error(unexpectedStatus(r, "range"));
		}
		if (!r.body().path("items").isArray() || !hasRevision(r)) {
			return Mono.error(foreignAnswer("range"));
		}
		if (first != null && first.era() != r.era()) {
			return Mono.error(new StoreUnavailableException("The store was restored from a snapshot between two pages.",
					"range"));
		}
		String last = "";
		for (JsonNode item : r.body().path("items")) {
			StoreEntryCodec.decode(item, r.era()).ifPresent(collected::add);
			last = item.path("key").asText();
		}
		// Pages are not read from one consistent snapshot, so the watch starts at the
		// revision of the first page and repeats any later changes.
		StorePosition position = (first != null) ? first : new StorePosition(r.era(), revision(r));
		long bytes = bytesBefore + r.bytes();
		if (r.body().path("truncated").asBoolean()) {
			return (last.isEmpty() || last.equals(after))
					? Mono.error(new StoreUnavailableException("The next page begins at this one.", "range"))
					: readPage(last, collected, position, bytes);
		}
		this.listingBytes = bytes;
		return Mono.just(new RegistryUpdate(position, collected));
	}

	@Override
	public Mono<RegistryUpdate> watch(StorePosition after, long waitMs) {
		QueryStringEncoder q = new QueryStringEncoder("/api/kv-watch");
		q.addParam("prefix", ALL_KEYS);
		q.addParam("after", Long.toString(after.revision()));
		q.addParam("wait_ms", Long.toString(waitMs));
		return this.client.call(HttpMethod.GET, q.toString(), null, waitMs + WATCH_MARGIN_MS, maxHistoryBytes())
			.onErrorMap(StoreResponseTooLongException.class,
					(ex) -> new StoreHistoryGoneException("The changes since this revision are longer than a listing.",
							after + ": " + ex.getMessage()))
			.flatMap((r) -> changes(r, after));
	}

	private static Mono<RegistryUpdate> changes(StoreClient.Reply r, StorePosition after) {
		if (r.status() == GONE || r.era() != after.era()) {
			return Mono.error(new StoreHistoryGoneException("The store no longer has the changes since this revision.",
					"" + after));
		}
		if (r.status() != OK) {
			return Mono.error(unexpectedStatus(r, "watch"));
		}
		if (!r.body().path("events").isArray() || !hasRevision(r) || revision(r) < after.revision()) {
			return Mono.error(foreignAnswer("watch"));
		}
		List<RegistryChange> changes = new ArrayList<>();
		for (JsonNode e : r.body().path("events")) {
			StoreEntryCodec.decode(e, r.era()).ifPresent(changes::add);
		}
		return Mono.just(new RegistryUpdate(new StorePosition(r.era(), revision(r)), changes));
	}

	// The history repeats a value for each time it was written. If it is longer than all
	// current values, a listing is shorter, and over a slow link the history might grow
	// faster than it is read.
	private int maxHistoryBytes() {
		return (int) Math.min(StoreClient.MAX_RESPONSE_BYTES, Math.max(MIN_HISTORY_BYTES, this.listingBytes));
	}

	@Override
	public Mono<RouteTable> readConfiguration() {
		return readKey(PlatformNames.CONFIG_KEY).flatMap((r) -> {
			if (r.status() != OK) {
				return Mono.error(unexpectedStatus(r, "key"));
			}
			return Mono.fromCallable(() -> configuration(r.body(), r.era()));
		});
	}

	// The decoded configuration is cached: it is read repeatedly while unchanged, and a
	// large one takes some time to decode.
	private RouteTable configuration(JsonNode item, long era) throws InputException {
		StorePosition p = StoreEntryCodec.position(item, era);
		RouteTable t = this.configuration;
		if (t == null || !p.equals(this.decodedAt)) {
			t = StoreEntryCodec.configuration(item);
			this.configuration = t;
			this.decodedAt = p;
		}
		return t;
	}

	private Mono<StoreClient.Reply> readKey(String key) {
		QueryStringEncoder q = new QueryStringEncoder("/api/kv-key");
		q.addParam("key", key);
		return this.client.call(HttpMethod.GET, q.toString(), null, TIMEOUT_MS)
			.flatMap((r) -> (r.status() == OK && !r.body().path("key").asText().equals(key))
					? Mono.error(foreignAnswer("key")) : Mono.just(r));
	}

	@Override
	public Mono<Long> openLease(long ttlMs) {
		ObjectNode body = StoreEntryCodec.JSON.createObjectNode().put("ttl_ms", ttlMs);
		return this.client.call(HttpMethod.POST, "/api/kv-lease", body, TIMEOUT_MS).flatMap((r) -> {
			if (r.status() != OK) {
				return Mono.error(unexpectedStatus(r, "lease"));
			}
			JsonNode lease = r.body().path("lease");
			return (lease.asLong() > 0) ? Mono.just(lease.asLong()) : Mono.error(foreignAnswer("lease"));
		});
	}

	@Override
	public Mono<Boolean> renewLease(long lease) {
		return this.client.call(HttpMethod.POST, "/api/kv-keep/" + lease, null, TIMEOUT_MS)
			.flatMap((r) -> applied(r, "keep"));
	}

	@Override
	public Mono<Void> revokeLease(long lease) {
		return this.client.call(HttpMethod.DELETE, "/api/kv-lease-end/" + lease, null, TIMEOUT_MS).then();
	}

	@Override
	public Mono<Boolean> registerVm(EntryVm vm, long lease) {
		ObjectNode body = newTransaction();
		addPut(body, vm.key(), StoreEntryCodec.encode(vm), lease);
		return transact(body, "register");
	}

	@Override
	public Mono<Boolean> claimLeadership(String vm, long lease) {
		ObjectNode body = newTransaction();
		addExpectation(body, PlatformNames.STAGE_LEADER_KEY, 0);
		addPut(body, PlatformNames.STAGE_LEADER_KEY,
				StoreEntryCodec.encode(StoreEntryCodec.JSON.createObjectNode().put("vm", vm)), lease);
		return transact(body, "claim");
	}

	@Override
	public Mono<Boolean> resignLeadership(StorePosition fence) {
		if (!mayBeCurrent(fence)) {
			return Mono.just(false);
		}
		ObjectNode body = newTransaction();
		addExpectation(body, PlatformNames.STAGE_LEADER_KEY, fence.revision());
		addRemoval(body, PlatformNames.STAGE_LEADER_KEY);
		return transact(body, "resign");
	}

	@Override
	public Mono<Optional<RegistryChange.LeaderElected>> readLeader() {
		return readKey(PlatformNames.STAGE_LEADER_KEY).flatMap((r) -> {
			if (r.status() == NOT_FOUND) {
				return Mono.just(Optional.empty());
			}
			if (r.status() != OK) {
				return Mono.error(unexpectedStatus(r, "key"));
			}
			return Mono.fromCallable(() -> Optional.of(StoreEntryCodec.leader(r.body(), r.era())));
		});
	}

	@Override
	public Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition fence, long lease) {
		if (!mayBeCurrent(fence)) {
			return Mono.just(false);
		}
		ObjectNode value = StoreEntryCodec.JSON.createObjectNode().put("stage", StoreEntryCodec.encode(stage));
		ObjectNode body = newTransaction();
		addExpectation(body, PlatformNames.STAGE_LEADER_KEY, fence.revision());
		addPut(body, PlatformNames.STAGE_CHANGE_PREFIX + worker, StoreEntryCodec.encode(value), lease);
		return transact(body, "mark");
	}

	@Override
	public Mono<Boolean> publishStats(String upstream, EngineStatistics stats, StorePosition before) {
		if (!before.equals(StorePosition.NONE) && before.era() != this.client.era()) {
			return Mono.just(false);
		}
		String key = PlatformNames.ENGINE_STATS_PREFIX + upstream;
		ObjectNode body = newTransaction();
		addExpectation(body, key, before.revision());
		addPut(body, key, StoreEntryCodec.encode(stats), NO_LEASE);
		return transact(body, "tell");
	}

	@Override
	public Mono<Boolean> announceVersions(String upstream, Set<String> versions, StorePosition before) {
		if (!before.equals(StorePosition.NONE) && before.era() != this.client.era()) {
			return Mono.just(false);
		}
		String key = PlatformNames.VERSIONS_PREFIX + upstream;
		ObjectNode body = newTransaction();
		addExpectation(body, key, before.revision());
		addPut(body, key, StoreEntryCodec.encode(versions), NO_LEASE);
		return transact(body, "versions");
	}

	@Override
	public Mono<RegistryChange.VersionsAnnounced> readVersions(String upstream) {
		return readKey(PlatformNames.VERSIONS_PREFIX + upstream).flatMap((r) -> {
			if (r.status() == NOT_FOUND) {
				return Mono.just(new RegistryChange.VersionsAnnounced(upstream, Set.of(), StorePosition.NONE));
			}
			if (r.status() != OK) {
				return Mono.error(unexpectedStatus(r, "key"));
			}
			return Mono.fromCallable(() -> StoreEntryCodec.versions(r.body(), r.era()));
		});
	}

	@Override
	public Mono<Boolean> publishSuspects(String name, List<SuspectReport> reports, long lease) {
		ObjectNode body = newTransaction();
		addPut(body, PlatformNames.SUSPECTS_PREFIX + name, StoreEntryCodec.encode(SuspectReportCodec.encode(reports)),
				lease);
		return transact(body, "suspects");
	}

	@Override
	public Mono<Boolean> publishSettled(long era) {
		ObjectNode body = newTransaction();
		ObjectNode value = StoreEntryCodec.JSON.createObjectNode().put("era", era);
		addPut(body, PlatformNames.SETTLED_ERA_KEY, StoreEntryCodec.encode(value), NO_LEASE);
		return (era == this.client.era()) ? transact(body, "settled") : Mono.just(false);
	}

	@Override
	public Mono<Boolean> withdrawStageChange(String worker, StorePosition fence) {
		if (!mayBeCurrent(fence)) {
			return Mono.just(false);
		}
		ObjectNode body = newTransaction();
		addExpectation(body, PlatformNames.STAGE_LEADER_KEY, fence.revision());
		addRemoval(body, PlatformNames.STAGE_CHANGE_PREFIX + worker);
		return transact(body, "unmark");
	}

	// The revision 0 stands for a key that does not exist: without this check, any VM
	// could act while there is no leader.
	private boolean mayBeCurrent(StorePosition electedAt) {
		return !electedAt.equals(StorePosition.NONE) && electedAt.era() == this.client.era();
	}

	// A transaction over several keys, applied completely or not at all.
	private static ObjectNode newTransaction() {
		ObjectNode body = StoreEntryCodec.JSON.createObjectNode();
		body.putArray("expected");
		body.putArray("puts");
		body.putArray("remove");
		return body;
	}

	private static void addExpectation(ObjectNode body, String key, long revision) {
		((ArrayNode) body.path("expected")).addObject().put("key", key).put("revision", revision);
	}

	private static void addPut(ObjectNode body, String key, String value, long lease) {
		((ArrayNode) body.path("puts")).addObject().put("key", key).put("value", value).put("lease", lease);
	}

	private static void addRemoval(ObjectNode body, String key) {
		((ArrayNode) body.path("remove")).add(key);
	}

	private Mono<Boolean> transact(ObjectNode body, String call) {
		boolean eraKnown = this.client.hasAnswered();
		long era = this.client.era();
		return this.client.call(HttpMethod.POST, "/api/kv-txn", body, TIMEOUT_MS).flatMap((r) -> {
			if (r.era() == era || !eraKnown) {
				return applied(r, call);
			}
			Logger.info("[store] write spans a restore, treated as failed call={} sent={} answered={}", call, era,
					r.era());
			return Mono.just(false);
		});
	}

	private static Mono<Boolean> applied(StoreClient.Reply r, String call) {
		return switch (r.status()) {
			case OK -> Mono.just(true);
			case NOT_FOUND, PRECONDITION_FAILED -> Mono.just(false);
			default -> Mono.error(unexpectedStatus(r, call));
		};
	}

	private static boolean hasRevision(StoreClient.Reply r) {
		return r.body().path(REVISION).isIntegralNumber();
	}

	private static long revision(StoreClient.Reply r) {
		return r.body().path(REVISION).asLong();
	}

	// A response without what the call asks for may belong to another call. If it were
	// accepted, this VM would conclude that nothing has changed.
	private static StoreUnavailableException foreignAnswer(String call) {
		return new StoreUnavailableException("The response is not one to this call.", call);
	}

	private static StoreUnavailableException unexpectedStatus(StoreClient.Reply r, String call) {
		return new StoreUnavailableException("The store responded with status " + r.status() + ".", call);
	}

}
