package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the retries of this VM to each upstream, so that all VMs together stay within
 * the operator's retry budget in any window. Not thread-safe.
 * <p>
 * When a worker fails, all VMs retry their requests to it at the same moment; without a
 * common bound these retries overload the remaining workers. A VM cannot ask the others
 * at that moment, so each one uses its own part: the ratio of its own requests, and its
 * {@link SettledShare} of the slack.
 * <p>
 * Invariant: in any period up to the length of the window, at most
 * {@code ratio * requests + slack share + 1} retries, with the requests of that period. A
 * bound for periods of the whole length would not do: a VM could spend the ratio of
 * requests from before the window and then hand over its callers to others, which spend
 * that of theirs.
 */
final class UpstreamRetryBudget {

	private final GatewaySettings settings;

	private final Map<String, RetryAccount> byUpstream = new HashMap<>();

	UpstreamRetryBudget(GatewaySettings settings) {
		this.settings = settings;
	}

	void recordFirstAttempt(String upstream, long now) {
		account(upstream).recordFirstAttempt(now);
	}

	/**
	 * Takes a retry from the budget if it allows one.
	 * @param upstream the upstream
	 * @param slackShare the share of the slack that this VM may spend, from 0 to 1
	 * @param now the present time in milliseconds
	 * @return whether the request may be sent again
	 */
	boolean tryAcquire(String upstream, double slackShare, long now) {
		return account(upstream).tryRetry(slackShare * this.settings.retrySlack(), now);
	}

	/**
	 * Describes the budget of an upstream for the log.
	 * @param upstream the upstream
	 * @param slackShare the share of the slack that this VM may spend, from 0 to 1
	 * @param now the present time in milliseconds
	 * @return the retries that the ratio has not covered in the window, and this VM's
	 * part of the slack
	 */
	String state(String upstream, double slackShare, long now) {
		return tenths(account(upstream).uncovered(now)) + "/" + tenths(slackShare * this.settings.retrySlack());
	}

	private static double tenths(double value) {
		return Math.round(10 * value) / 10.0;
	}

	private RetryAccount account(String upstream) {
		return this.byUpstream.computeIfAbsent(upstream,
				(u) -> new RetryAccount(this.settings.retryRatio(), this.settings.retryWindowMs()));
	}

}
