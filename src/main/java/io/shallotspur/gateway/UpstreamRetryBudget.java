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
 * at that moment, so each one uses its own share: the ratio of its own requests, and a
 * share of the slack. The share allows for one more VM than is known, since a VM that has
 * just joined is not known to all.
 * <p>
 * Invariant: in any window at most {@code ratio * requests + slack share} retries.
 */
final class UpstreamRetryBudget {

	// VMs that may be serving without being known to this VM yet.
	private static final int UNKNOWN_VMS = 1;

	// The share of the slack for the serving VMs. The rest is for callers with an
	// outdated list of VMs, and for changes of the serving set: the old and the new set
	// may both have used their share within one window.
	private static final double SERVING_SHARE = 0.5;

	private final GatewaySettings settings;

	private final Map<String, Window> byUpstream = new HashMap<>();

	UpstreamRetryBudget(GatewaySettings settings) {
		this.settings = settings;
	}

	void recordFirstAttempt(String upstream, long now) {
		window(upstream, now).firstAttempts.add(now);
	}

	boolean tryAcquire(String upstream, EntryVmDirectory vms, long now) {
		Window window = window(upstream, now);
		double maxRetries = this.settings.retryRatio() * window.firstAttempts.size() + slackShare(vms, now);
		if (window.retries.size() + 1 > maxRetries) {
			return false;
		}
		window.retries.add(now);
		return true;
	}

	/**
	 * Describes the budget of an upstream for the log.
	 * @param upstream the upstream
	 * @param vms the VMs that share the budget
	 * @param now the present time in milliseconds
	 * @return retries and first attempts in the window, this VM's part of the slack, and
	 * how many VMs share it: all known ones and those that callers are directed to
	 */
	String state(String upstream, EntryVmDirectory vms, long now) {
		Window w = window(upstream, now);
		double slack = Math.round(10 * slackShare(vms, now)) / 10.0;
		return w.retries.size() + "/" + w.firstAttempts.size() + "+" + slack + " vms=" + vms.count(now) + "/"
				+ vms.servingCountAllRegions(now);
	}

	private double slackShare(EntryVmDirectory vms, long now) {
		double shareOfAll = this.settings.retrySlack() / (Math.max(1, vms.count(now)) + UNKNOWN_VMS);
		if (vms.isStandby(now)) {
			return (1 - SERVING_SHARE) * shareOfAll;
		}
		double shareOfServing = this.settings.retrySlack() / (vms.servingCountOwnRegion(now) + UNKNOWN_VMS);
		return (1 - SERVING_SHARE) * shareOfAll + SERVING_SHARE * shareOfServing;
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
