package io.shallotspur.queueing;

import java.util.ArrayList;
import java.util.List;

/**
 * Determines which waiting requests will not be served before they stop waiting, for
 * bursts that last longer than callers wait. Refused at once, their callers can return
 * when they are likely to be served. Stateless.
 * <p>
 * Invariant: a request that may still be served, on time or late, is kept. The number of
 * starts in a period varies by about its square root, so a request is given up only if
 * twice that deviation would not suffice; the first four are therefore never given up
 * before their wait has ended.
 */
public final class WaitForecast {

	private static final double DEVIATIONS = 2;

	private WaitForecast() {
	}

	/**
	 * Returns the requests that will not be served in time.
	 * @param <T> the type of the requests
	 * @param ordered the waiting requests in the order in which they are served
	 * @param startsPerSecond how many of them are served per second; may be 0
	 * @param now the present time in milliseconds
	 * @return these requests, with the time until they would be served
	 */
	public static <T extends WaitingRequest> List<Unservable<T>> unservable(List<T> ordered, double startsPerSecond,
			long now) {
		List<Unservable<T>> unservable = new ArrayList<>();
		int position = 1;
		for (T request : ordered) {
			double starts = startsPerSecond * (request.waitDeadline() - now) / 1_000;
			if (position - DEVIATIONS * Math.sqrt(position) > starts) {
				unservable.add(new Unservable<>(request, (long) (1_000 * position / startsPerSecond)));
			}
			else {
				position++;
			}
		}
		return unservable;
	}

	/**
	 * A request that will not be served in time. Immutable.
	 *
	 * @param <T> the type of the request
	 * @param request the request
	 * @param expectedWaitMs the time until it would be served, in milliseconds;
	 * {@link Long#MAX_VALUE} if none are served at present
	 */
	public record Unservable<T extends WaitingRequest>(T request, long expectedWaitMs) {

	}

}
