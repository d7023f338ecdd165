package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Where requests of one model upstream wait for a place and memory at a decode worker.
 * Not thread-safe; confined to the gateway's thread.
 * <p>
 * Answers a burst of twice what the decode workers' memory bears. Each VM sees only its
 * own requests, so none knows whether a worker has room; a request that is sent to a full
 * worker comes back refused, its prefill is lost, and a route with one attempt has no
 * other. So a place is reserved first: the worker is the only one who counts its places
 * exactly. Requests that find none wait here and not inside a worker, where one that is
 * urgent could not pass the others.
 * <p>
 * Those who can still be answered in time go before those who cannot, who get a place
 * only while nobody else waits; within both the more urgent goes first, then the one that
 * has to start first. While places free up more slowly than callers come, the newest goes
 * first instead: served in the order of their latest start, all would get their place
 * when it is all but too late, and every delay after that makes the answer late. The one
 * that has waited longest is the one that is late in any case. The same holds among the
 * late: what a place takes to lead to an answer is an estimate that grows in a burst, and
 * with the oldest first all who come after it would be late as well, long after the
 * burst.
 * <p>
 * When a request of this VM ends its worker is asked at once, since a place has just
 * become free there; otherwise a worker that has refused is left alone for a while
 * ({@link RecentRefusals}).
 */
final class HoldQueue {

	// A worker with 10 places and answers of 3 s frees one each 300 ms; asking it more
	// often than that is mostly in vain, ms.
	private static final long FULL_MS = 150;

	// A place that has become free is left this long to other VMs whose callers can
	// still be answered in time, before it goes to a caller who is late in any case, ms:
	// twice the time in which each of them asks again. A VM that serves all callers has
	// nobody to leave it to.
	private static final long LATE_MS = 300;

	// Between two questions while all workers turn out to be full, ms. With a hundred
	// workers and as many VMs each VM would ask 270 times a second otherwise, and spend
	// its processor and theirs on refusals.
	private static final long PACE_MS = 25;

	// Refusals in a row that show so. No more workers than this are asked less often than
	// the pace anyway.
	private static final int ALL_FULL = 6;

	// Reservations asked for at a time: the way to a worker and back takes 2 ms.
	private static final int CALLS_AT_ONCE = 4;

	// Those who have waited for this part of the time that they could wait show that
	// places free up more slowly than callers come.
	private static final double LONG_WAIT = 0.5;

	// Before few places so many may wait, requests. Otherwise as many as the workers have
	// places: in the time of an answer each becomes free once, and nobody waits longer.
	private static final int LEAST_LIMIT = 64;

	private static final Comparator<Ticket> ORDER = Comparator.comparing((Ticket t) -> t.late)
		.thenComparingInt((t) -> t.waiting.priority())
		.thenComparingLong((t) -> t.waiting.latestStart())
		.thenComparingLong((t) -> t.number);

	private final Gateway g;

	private final String upstream;

	private final TreeSet<Ticket> queue = new TreeSet<>(ORDER);

	private final RecentRefusals refused = new RecentRefusals();

	private long number;

	// Those for whom a worker is being asked.
	private final Set<Ticket> asked = new HashSet<>();

	private int refusals;

	private long nextAskAt;

	private Runnable cancelTimer = () -> {
	};

	HoldQueue(Gateway g, String upstream) {
		this.g = g;
		this.upstream = upstream;
	}

	/**
	 * Adds a request.
	 * @param w the request
	 * @param now the present time in milliseconds
	 * @return its ticket
	 */
	Ticket enter(Waiting w, long now) {
		Ticket t = new Ticket(w, ++this.number, now);
		this.queue.add(t);
		if (this.queue.size() > LEAST_LIMIT && this.queue.size() > places(w.candidates(now))) {
			turnLastAway(now);
		}
		pump(now);
		return t;
	}

	private static int places(List<WorkerState> workers) {
		return workers.stream().mapToInt((w) -> w.info().slots()).sum();
	}

	// The one who would wait longest, and not the one who comes: the newest may be first.
	private void turnLastAway(long now) {
		List<Ticket> l = inOrder(now);
		Ticket last = l.get(l.size() - 1);
		leave(last);
		last.waiting.turnedAway(now);
	}

	/**
	 * Takes a request out again; its reservation, if one is on its way, is given back.
	 * @param t its ticket
	 */
	void leave(Ticket t) {
		t.over = true;
		this.queue.remove(t);
	}

	/**
	 * A request of this VM at a worker has ended.
	 * @param worker the worker
	 * @param now the present time in milliseconds
	 */
	void freed(String worker, long now) {
		this.refused.recordFreedSlot(worker, now + latePauseMs(now), now);
		this.nextAskAt = now;
		pump(now);
	}

	private void pump(long now) {
		settle(now);
		while (this.asked.size() < CALLS_AT_ONCE && now >= this.nextAskAt) {
			Optional<Question> q = next(now);
			if (q.isEmpty()) {
				break;
			}
			this.queue.remove(q.get().ticket());
			if (this.refusals >= ALL_FULL && q.get().candidates() > ALL_FULL) {
				this.nextAskAt = now + PACE_MS;
			}
			ask(q.get().ticket(), q.get().worker(), now);
		}
		wakeLater(now);
	}

	private Optional<Question> next(long now) {
		List<Ticket> l = inOrder(now);
		boolean inTimeWaits = Stream.concat(l.stream(), this.asked.stream()).anyMatch((t) -> !t.late);
		for (Ticket t : l) {
			if (t.late && inTimeWaits) {
				break;
			}
			List<WorkerState> candidates = t.waiting.candidates(now);
			Optional<WorkerState> w = choose(t, candidates, now);
			if (w.isPresent()) {
				return Optional.of(new Question(t, w.get(), candidates.size()));
			}
		}
		return Optional.empty();
	}

	private List<Ticket> inOrder(long now) {
		List<Ticket> l = new ArrayList<>(this.queue);
		int from = 0;
		while (from < l.size()) {
			int to = from + 1;
			while (to < l.size() && l.get(to).isLike(l.get(from))) {
				to++;
			}
			if (l.get(from).late || l.get(from).hasWaitedLong(now)) {
				Collections.reverse(l.subList(from, to));
			}
			from = to;
		}
		return l;
	}

	// Turns away those whose time is up and moves those that have become late.
	private void settle(long now) {
		for (Ticket t : new ArrayList<>(this.queue)) {
			if (now >= t.waiting.waitUntil()) {
				leave(t);
				t.waiting.turnedAway(now);
			}
			else if (!t.late && now > t.waiting.latestStart()) {
				this.queue.remove(t);
				t.late = true;
				this.queue.add(t);
			}
		}
	}

	private Optional<WorkerState> choose(Ticket t, List<WorkerState> candidates, long now) {
		int tokens = t.waiting.tokens();
		List<WorkerState> l = candidates.stream()
			.filter((w) -> this.refused.mayFit(w.info().id(), tokens, t.late, now))
			.toList();
		return Placement.cheapest(l, this.g.settings.hall(), this.g.random, now);
	}

	private void ask(Ticket t, WorkerState w, long now) {
		int tokens = t.waiting.tokens();
		this.asked.add(t);
		w.started();
		w.limit().reserve();
		this.g.workerPort.reserve(w.info(), tokens, t.waiting.holdMs(), new HoldListener() {

			@Override
			public void onNews(WorkerNews news) {
				HoldQueue.this.g.updateWorkerStatus(w, news, now);
			}

			@Override
			public void onHeld(String hold) {
				answered(t, w, tokens, hold, null);
			}

			@Override
			public void onFull() {
				answered(t, w, tokens, null, null);
			}

			@Override
			public void onReplaced() {
				HoldQueue.this.g.roster.replaced(w.info().id(), WorkerStage.DECODE, HoldQueue.this.g.clock.getAsLong());
				answered(t, w, tokens, null, null);
			}

			@Override
			public void onFailure(ExchangeFailure failure) {
				answered(t, w, tokens, null, failure);
			}

		});
	}

	private void answered(Ticket t, WorkerState w, int tokens, @Nullable String hold,
			@Nullable ExchangeFailure failure) {
		long now = this.g.clock.getAsLong();
		this.asked.remove(t);
		w.ended();
		if (hold != null) {
			this.refusals = 0;
			held(t, w, hold, now);
		}
		else {
			this.refusals++;
			w.limit().releaseReservation();
			full(w, tokens, failure, now);
			if (!t.over) {
				this.queue.add(t);
			}
		}
		pump(now);
	}

	private void held(Ticket t, WorkerState w, String hold, long now) {
		if (t.over) {
			w.limit().releaseReservation();
			this.g.workerPort.cancelReservation(w.info(), hold);
			return;
		}
		t.over = true;
		t.waiting.admitted(w, hold, now);
	}

	private void full(WorkerState w, int tokens, @Nullable ExchangeFailure failure, long now) {
		long pause = (long) (FULL_MS * (0.75 + this.g.random.next() / 2));
		this.refused.recordRefusal(w.info().id(), tokens, now + pause, now + pause + latePauseMs(now), now);
		if (failure != null) {
			this.g.roster.detector(this.upstream).failed(w.info().id(), now);
			w.outcome(true);
			w.unreachable(now);
		}
	}

	// The part of the callers who are at other VMs.
	private long latePauseMs(long now) {
		return LATE_MS - LATE_MS / this.g.entryVms.servingCountOwnRegion(now);
	}

	private void wakeLater(long now) {
		this.cancelTimer.run();
		if (this.queue.isEmpty()) {
			return;
		}
		long at = this.refused.nextRetryAt(now, now + FULL_MS);
		for (Ticket t : this.queue) {
			at = Math.min(at, t.waiting.waitUntil());
		}
		if (this.nextAskAt > now && this.asked.size() < CALLS_AT_ONCE) {
			at = Math.min(at, this.nextAskAt);
		}
		this.cancelTimer = this.g.timer.schedule(Math.max(1, at - now), () -> pump(this.g.clock.getAsLong()));
	}

	/**
	 * A request that waits.
	 */
	interface Waiting {

		// The memory it needs, tokens.
		int tokens();

		// Its rank; 0 is first.
		int priority();

		// Until when it can start and still be answered in time, ms.
		long latestStart();

		// Until when it waits at all, ms.
		long waitUntil();

		// How long a reservation is to last, ms.
		long holdMs();

		// The workers that may run it.
		List<WorkerState> candidates(long now);

		// A place is reserved.
		void admitted(WorkerState worker, String hold, long now);

		// It waited in vain.
		void turnedAway(long now);

	}

	/**
	 * The place of a request in the queue.
	 */
	static final class Ticket {

		private final Waiting waiting;

		private final long number;

		private final long enteredAt;

		private boolean late;

		private boolean over;

		boolean isOver() {
			return this.over;
		}

		private Ticket(Waiting waiting, long number, long enteredAt) {
			this.waiting = waiting;
			this.number = number;
			this.enteredAt = enteredAt;
		}

		private boolean isLike(Ticket t) {
			return this.late == t.late && this.waiting.priority() == t.waiting.priority();
		}

		private boolean hasWaitedLong(long now) {
			return now - this.enteredAt > LONG_WAIT * (this.waiting.latestStart() - this.enteredAt);
		}

	}

	/**
	 * Whom to ask for what next.
	 */
	private record Question(Ticket ticket, WorkerState worker, int candidates) {

	}

}
