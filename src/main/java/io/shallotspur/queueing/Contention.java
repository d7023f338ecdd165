package io.shallotspur.queueing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.stream.Stream;

import org.jspecify.annotations.Nullable;

/**
 * Which of the requests that wait at one VM go before others. Immutable as long as the
 * requests do not change.
 *
 * @param <T> the type of the requests
 */
public final class Contention<T extends WaitingRequest> {

	private static final Comparator<WaitingRequest> BY_PRIORITY = Comparator.comparingInt(WaitingRequest::priority);

	private final @Nullable T first;

	private final @Nullable T firstTimely;

	/**
	 * Determines who goes before others.
	 * @param waiting the requests that wait
	 * @param starting the requests for which capacity is being requested
	 */
	public Contention(Collection<T> waiting, Collection<T> starting) {
		this.first = Stream.concat(waiting.stream(), starting.stream()).min(BY_PRIORITY).orElse(null);
		this.firstTimely = Stream.concat(waiting.stream(), starting.stream())
			.filter((r) -> !r.isLate())
			.min(BY_PRIORITY)
			.orElse(null);
	}

	/**
	 * Returns a request of a higher priority.
	 * @param request the request to compare with
	 * @return the request that goes first, or empty if none has a higher priority
	 */
	public Optional<T> higherThan(WaitingRequest request) {
		return Optional.ofNullable(this.first).filter((r) -> r.priority() < request.priority());
	}

	/**
	 * Returns the request for whose sake a late request is held back. If late requests
	 * took each piece of capacity that becomes free, a larger one that can still be on
	 * time would be late too.
	 * @param request the request to compare with
	 * @return a request of the same or a higher priority that can still be on time; empty
	 * if there is none or the request is not late
	 */
	public Optional<T> holdsBack(WaitingRequest request) {
		return Optional.ofNullable(this.firstTimely)
			.filter((r) -> request.isLate() && r.priority() <= request.priority());
	}

}
