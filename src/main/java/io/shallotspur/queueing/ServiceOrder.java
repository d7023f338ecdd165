package io.shallotspur.queueing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * The order in which waiting requests are served, for bursts in which requests of several
 * priorities compete for the same workers. Stateless.
 * <p>
 * Invariants: a request is never served before one of a higher priority, whether or not
 * either is late; the only exception is {@link #firstOfLowerPriority}. An urgent request
 * often has a tight objective and is late soon: behind all that can be on time, it would
 * get no capacity while anything less urgent waits. Within a priority, requests that can
 * still be on time precede late ones.
 * <p>
 * Requests that can be on time are served in the order of their latest start, and in the
 * reverse order while capacity frees up more slowly than requests arrive, since all would
 * otherwise be served just too late. Late requests are always served in the reverse
 * order: with the oldest first, all later ones would be as late, long after a burst.
 */
public final class ServiceOrder {

	private static final Comparator<WaitingRequest> ORDER = Comparator.comparingInt(WaitingRequest::priority)
		.thenComparing(WaitingRequest::isLate)
		.thenComparingLong(WaitingRequest::latestStart)
		.thenComparingLong(WaitingRequest::sequence);

	// Requests that have waited for this fraction of their available time show that
	// capacity frees up more slowly than requests arrive.
	private static final double LONG_WAIT_FRACTION = 0.5;

	private ServiceOrder() {
	}

	/**
	 * Returns requests in the order in which they are served.
	 * @param <T> the type of the requests
	 * @param requests the requests, in any order
	 * @param now the present time in milliseconds
	 * @return a copy in that order
	 */
	public static <T extends WaitingRequest> List<T> of(Collection<T> requests, long now) {
		List<T> ordered = new ArrayList<>(requests);
		ordered.sort(ORDER);
		int from = 0;
		while (from < ordered.size()) {
			int to = from + 1;
			while (to < ordered.size() && isSameGroup(ordered.get(from), ordered.get(to))) {
				to++;
			}
			if (ordered.get(from).isLate() || hasWaitedLong(ordered.get(from), now)) {
				Collections.reverse(ordered.subList(from, to));
			}
			from = to;
		}
		return ordered;
	}

	/**
	 * Returns the request that is served when it is the turn of a lower priority
	 * ({@link LowerPriorityTurns}): of the first request of each lower priority, the one
	 * with the earliest latest start.
	 * @param <T> the type of the requests
	 * @param ordered the requests in the order of {@link #of}
	 * @return the request; empty if all have the same priority
	 */
	public static <T extends WaitingRequest> Optional<T> firstOfLowerPriority(List<T> ordered) {
		return IntStream.range(1, ordered.size())
			.filter((i) -> ordered.get(i).priority() != ordered.get(i - 1).priority())
			.mapToObj(ordered::get)
			.min(Comparator.comparingLong(WaitingRequest::latestStart));
	}

	private static boolean isSameGroup(WaitingRequest a, WaitingRequest b) {
		return a.priority() == b.priority() && a.isLate() == b.isLate();
	}

	private static boolean hasWaitedLong(WaitingRequest r, long now) {
		return now - r.enqueuedAt() > LONG_WAIT_FRACTION * (r.latestStart() - r.enqueuedAt());
	}

}
