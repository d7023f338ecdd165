package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the retries of this VM to each upstream in a sliding window, so that all VMs
 * together stay within the operator's retry budget. Not thread-safe.
 * <p>
 * When a worker fails, all VMs retry their requests to it at the same moment; without a
 * common bound these retries overload the remaining workers. A VM cannot ask the others
 * at that moment, so each one uses its own part: the ratio of its own requests, and its
 * {@link SettledShare} of the slack.
 * <p>
 * Invariant: in any window at most {@code ratio * requests + slack share} retries.
 */
final class UpstreamRetryBudget {

	private final GatewaySettings settings;

	private final Map<String, Window> byUpstream = new HashMap<>();

	UpstreamRetryBudget(GatewaySettings settings) {
		this.settings = settings;
	}

	void recordFirstAttempt(String upstream, long now) {
		window(upstream, now).firstAttempts.add(now);
	}

	/**
	 * Takes a retry from the budget if it allows one.
	 * @param upstream the upstream
	 * @param slackShare the share of the slack that this VM may spend, from 0 to 1
	 * @param now the present time in milliseconds
	 * @return whether the request may be sent again
	 */
	boolean tryAcquire(String upstream, double slackShare, long now) {
		Window window = window(upstream, now);
		double maxRetries = this.settings.retryRatio() * window.firstAttempts.size()
				+ slackShare * this.settings.retrySlack();
		if (window.retries.size() + 1 > maxRetries) {
			return false;
		}
		window.retries.add(now);
		return true;
	}

	/**
	 * Describes the budget of an upstream for the log.
	 * @param upstream the upstream
	 * @param slackShare the share of the slack that this VM may spend, from 0 to 1
	 * @param now the present time in milliseconds
	 * @return retries and first attempts in the window, and this VM's part of the slack
	 */
	String state(String upstream, double slackShare, long now) {
		Window w = window(upstream, now);
		double slack = Math.round(10 * slackShare * this.settings.retrySlack()) / 10.0;
		return w.retries.size() + "/" + w.firstAttempts.size() + "+" + slack;
	}

	private Window window(String upstream, long now) {
		Window window = this.byUpstream.computeIfAbsent(upstream, (u) -> new Window());
		long cutoff = now - this.settings.retryWindowMs();
		removeBefore(window.firstAttempts, cutoff);
		removeBefore(window.retries, cutoff);
		return window;
	}

	private static void removeBefore(ArrayDeque<Long> times, long cutoff) {
		while (!times.isEmpty() && times.peekFirst() < cutoff) {
			times.removeFirst();
		}
	}

	private static final class Window {

		private final ArrayDeque<Long> firstAttempts = new ArrayDeque<>();

		private final ArrayDeque<Long> retries = new ArrayDeque<>();

	}

}
