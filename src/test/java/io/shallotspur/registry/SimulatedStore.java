package io.shallotspur.registry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

import io.shallotspur.exc.StoreHistoryGoneException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * A registry in virtual time, as one VM reaches it: it answers after some milliseconds,
 * is away, cut off, or comes back from a copy. Only listings and watches are served. Not
 * thread-safe.
 */
final class SimulatedStore implements Registry {

	private static final long ANSWER_MS = 4;

	private static final long TIMEOUT_MS = 1_000;

	private static final long WATCH_SLACK_MS = 700;

	// What was sent into a cut comes through so long after its end: it is sent again at
	// growing intervals, ms.
	private static final long SENT_AGAIN_MS = 1_000;

	// A silent path under a waiting watch is noticed by probes, ms.
	private static final long PROBED_MS = 3_000;

	private final ManualTimer timer;

	private final Map<String, RegistryChange> items = new LinkedHashMap<>();

	private final List<Event> events = new ArrayList<>();

	private long revision = 10;

	private long era = 1;

	private long toldEra = 1;

	private boolean away;

	private boolean cut;

	private final List<Runnable> heldUp = new ArrayList<>();

	private LongConsumer onRestored = (e) -> {
	};

	private @Nullable Watch watch;

	SimulatedStore(ManualTimer timer) {
		this.timer = timer;
	}

	void put(String key, RegistryChange item) {
		this.items.put(key, item);
		happened(item);
	}

	void remove(String key, RegistryChange gone) {
		if (this.items.remove(key) != null) {
			happened(gone);
		}
	}

	private void happened(RegistryChange c) {
		this.events.add(new Event(++this.revision, c));
		serveWatch();
	}

	void away(boolean yes) {
		this.away = yes;
		Watch w = this.watch;
		if (yes && w != null) {
			this.watch = null;
			w.sink().error(unavailable());
		}
	}

	void cut(boolean yes) {
		this.cut = yes;
		Watch w = this.watch;
		if (yes && w != null) {
			this.timer.schedule(PROBED_MS, () -> probed(w));
		}
		if (!yes) {
			List<Runnable> l = List.copyOf(this.heldUp);
			this.heldUp.clear();
			l.forEach((r) -> this.timer.schedule(SENT_AGAIN_MS, r));
			serveWatch();
		}
	}

	private void probed(Watch w) {
		if (this.cut && this.watch == w) {
			this.watch = null;
			w.sink().error(unavailable());
		}
	}

	Copy copy() {
		return new Copy(Map.copyOf(this.items), this.events.size(), this.revision);
	}

	void restore(Copy c) {
		this.items.clear();
		this.items.putAll(c.items());
		this.events.subList(c.events(), this.events.size()).clear();
		this.revision = c.revision();
		this.era++;
		away(true);
		away(false);
	}

	@Override
	public Mono<RegistryUpdate> list() {
		return answered(TIMEOUT_MS, () -> new RegistryUpdate(point(), List.copyOf(this.items.values())));
	}

	private StorePosition point() {
		return new StorePosition(this.era, this.revision);
	}

	// What the answer shows is of the moment in which the store has been reached.
	private <T> Mono<T> answered(long timeoutMs, Reading<T> reading) {
		return Mono.create((sink) -> {
			sent(sink, timeoutMs, () -> {
				if (this.away) {
					sink.error(unavailable());
					return;
				}
				placed();
				sink.success(reading.read());
			});
		});
	}

	private void sent(MonoSink<?> sink, long timeoutMs, Runnable arrives) {
		AtomicBoolean over = new AtomicBoolean();
		sink.onDispose(() -> over.set(true));
		this.timer.schedule(timeoutMs, () -> {
			if (!over.get()) {
				sink.error(unavailable());
			}
		});
		Runnable r = () -> {
			if (!over.get()) {
				arrives.run();
			}
		};
		if (this.cut) {
			this.heldUp.add(r);
		}
		else {
			this.timer.schedule(ANSWER_MS, r);
		}
	}

	private void placed() {
		if (this.era > this.toldEra) {
			this.toldEra = this.era;
			this.onRestored.accept(this.era);
		}
	}

	@Override
	public Mono<RegistryUpdate> watch(StorePosition after, long waitMs) {
		return Mono.create((sink) -> sent(sink, waitMs + WATCH_SLACK_MS, () -> begin(new Watch(sink, after), waitMs)));
	}

	private void begin(Watch w, long waitMs) {
		if (this.away) {
			w.sink().error(unavailable());
			return;
		}
		placed();
		this.watch = w;
		serveWatch();
		if (this.watch == w) {
			this.timer.schedule(waitMs, () -> {
				if (this.watch == w) {
					serve(w, List.of());
				}
			});
		}
	}

	private void serveWatch() {
		Watch w = this.watch;
		if (w == null || this.cut || this.away) {
			return;
		}
		if (w.after().era() != this.era || w.after().revision() > this.revision) {
			this.watch = null;
			w.sink().error(new StoreHistoryGoneException("gone", "test"));
			return;
		}
		List<RegistryChange> l = this.events.stream()
			.filter((e) -> e.revision() > w.after().revision())
			.map(Event::change)
			.toList();
		if (!l.isEmpty()) {
			serve(w, l);
		}
	}

	private void serve(Watch w, List<RegistryChange> l) {
		this.watch = null;
		w.sink().success(new RegistryUpdate(point(), l));
	}

	@Override
	public void setRestoreListener(LongConsumer then) {
		this.onRestored = then;
	}

	@Override
	public Mono<RouteTable> readConfiguration() {
		return Mono.never();
	}

	@Override
	public Mono<Long> openLease(long ttlMs) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> renewLease(long lease) {
		return answered(TIMEOUT_MS, () -> true);
	}

	@Override
	public Mono<Void> revokeLease(long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> registerVm(EntryVm vm, long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> claimLeadership(String vm, long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Optional<RegistryChange.LeaderElected>> readLeader() {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> announceStageChange(String worker, WorkerStage stage, StorePosition fence, long lease) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> publishStats(String upstream, EngineStatistics figures, StorePosition before) {
		return Mono.never();
	}

	@Override
	public Mono<Boolean> publishSettled(long e) {
		return Mono.fromRunnable(() -> put("eras/settled", new RegistryChange.EraSettled(e))).thenReturn(true);
	}

	@Override
	public Mono<Void> withdrawStageChange(String worker) {
		return Mono.never();
	}

	private static StoreUnavailableException unavailable() {
		return new StoreUnavailableException("away", "test");
	}

	/**
	 * Reads the store.
	 *
	 * @param <T> what is read
	 */
	private interface Reading<T> {

		T read();

	}

	private record Event(long revision, RegistryChange change) {

	}

	private record Watch(MonoSink<RegistryUpdate> sink, StorePosition after) {

	}

	/**
	 * What the store comes back with. Immutable.
	 */
	record Copy(Map<String, RegistryChange> items, int events, long revision) {

	}

}
