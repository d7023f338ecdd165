package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.jspecify.annotations.Nullable;

/**
 * Estimates times at the engines of one upstream from recent requests of this VM. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: no defaults are assumed. A time that has not been observed is 0, which
 * causes no refusals. With a default time per token, a VM that has just started would
 * classify long responses of fast engines as unable to complete in time and refuse them
 * although workers are idle.
 */
public final class EngineTimeEstimator {

	private static final double FIRST_EVENT_WEIGHT = 0.05;

	// The weight that TCP uses for its round-trip time estimates. About the last eight
	// samples count, and four deviations are rarely exceeded.
	private static final double PREFILL_WEIGHT = 0.125;

	private static final double TIMEOUT_DEVIATIONS = 4;

	// The time per token follows about the last fifty responses.
	private static final double RESPONSE_DECAY = 0.98;

	// A few hundred events: those of a handful of responses.
	private static final double EVENT_DECAY = 0.997;

	// Enough requests for a steady mean, few enough to follow a change of the traffic.
	private static final int WINDOW_SIZE = 64;

	// The first responses to complete are the short ones, and they underestimate the time
	// per expected token. The pace of events takes precedence until this many have
	// completed.
	private static final int MIN_RESPONSES = 8;

	// 14 of 15 responses are no longer than that. Memory for a longer one is mostly left
	// unused by others.
	private static final double RESERVATION_DEVIATIONS = 1.5;

	private final OutputLengthEstimator outputLengths = new OutputLengthEstimator();

	private final Deque<PromptInfo> recentRequests = new ArrayDeque<>();

	private final PrefillTimeEstimator prefillTimes = new PrefillTimeEstimator();

	private int completedResponses;

	private int unsharedRequests;

	private @Nullable EngineStatistics sharedStatistics;

	private final DecayedRatio responsePace = new DecayedRatio(RESPONSE_DECAY);

	private final DecayedRatio eventPace = new DecayedRatio(EVENT_DECAY);

	private final SmoothedTime timeToFirstEvent = new SmoothedTime(FIRST_EVENT_WEIGHT);

	private final SmoothedTime prefillDuration = new SmoothedTime(PREFILL_WEIGHT);

	/**
	 * Records an incoming request.
	 * @param prompt the token counts that it declares
	 */
	void recordRequest(PromptInfo prompt) {
		this.recentRequests.addLast(prompt);
		if (this.recentRequests.size() > WINDOW_SIZE) {
			this.recentRequests.removeFirst();
		}
		this.unsharedRequests = Math.min(WINDOW_SIZE, this.unsharedRequests + 1);
	}

	void recordPrefill(long ms, PromptInfo prompt) {
		this.prefillDuration.add(ms);
		this.prefillTimes.add(ms, prompt.promptTokens());
	}

	void recordTimeToFirstEvent(long ms) {
		this.timeToFirstEvent.add(ms);
	}

	/**
	 * Records a prefill timeout. The next prefills are given twice as long, because the
	 * queue in a burst grows faster than the mean of the completed prefills.
	 * @param ms the timeout in milliseconds
	 */
	void recordPrefillTimeout(long ms) {
		this.prefillDuration.add(2 * ms);
	}

	/**
	 * Returns how long a prefill may take, including its queue time, until its worker is
	 * considered lost. With a fixed timeout, prompts of a burst would be abandoned in the
	 * queue of a prefill worker and prefilled again at a decode worker.
	 * @return milliseconds: the recent mean and four deviations; 0 before the first
	 * prefill
	 */
	long prefillTimeoutMs() {
		return (long) this.prefillDuration.estimateMs(TIMEOUT_DEVIATIONS);
	}

	/**
	 * Records an event of a response in progress, which shows the pace long before the
	 * response completes.
	 * @param ms time since its previous event, in milliseconds
	 * @param tokens the tokens of an event; 0 if the operator does not configure it
	 */
	void recordEvent(long ms, int tokens) {
		if (tokens > 0) {
			this.eventPace.add(ms, tokens);
		}
	}

	/**
	 * Records a completed response.
	 * @param ms time from its first event to its last, in milliseconds
	 * @param prompt the token counts that its request declared
	 * @param tokens its length; 0 if that is not known
	 */
	void recordResponse(long ms, PromptInfo prompt, int tokens) {
		this.completedResponses++;
		this.responsePace.add(ms, Math.max(1, prompt.expectedOutputTokens()));
		if (tokens > 0) {
			this.outputLengths.add(prompt.expectedOutputTokens(), tokens);
		}
	}

	/**
	 * Returns the memory to reserve for a request: its prompt and its response, with a
	 * margin above the expected length. If it is too small, the worker evicts a running
	 * request, whose response stalls and whose prompt is prefilled again; each eviction
	 * costs more than the capacity that a larger reservation takes from others. Reserving
	 * the longest possible response for each would leave a good part of the memory
	 * unused.
	 * @param prompt the token counts that the request declares
	 * @param receivedTokens tokens of the response that the caller has already
	 * @return tokens
	 */
	int reservationTokens(PromptInfo prompt, int receivedTokens) {
		double outputTokens = Math.max(receivedTokens,
				this.outputLengths.model().estimateTokens(prompt.expectedOutputTokens(), RESERVATION_DEVIATIONS));
		return prompt.promptTokens() + (int) Math.min(prompt.maxOutputTokens(), outputTokens);
	}

	/**
	 * Sets the statistics shared by all VMs.
	 * @param statistics the statistics
	 */
	public void setSharedStatistics(EngineStatistics statistics) {
		this.sharedStatistics = statistics;
		this.outputLengths.setPrior(statistics.lengthModel());
	}

	/**
	 * Returns the time from a reservation to the first event, including the prefill, that
	 * four requests in five stay within. A request that gets a slot with less time left
	 * is likely to be late, and takes the slot from one that could be on time.
	 * @return the moving average plus its mean deviation, in milliseconds; 0 before the
	 * first event
	 */
	long timeToFirstEventMs() {
		return (long) this.timeToFirstEvent.estimateMs(1);
	}

	/**
	 * Returns the time from the first event of a response to its last.
	 * @param expectedTokens the caller's estimate of its tokens
	 * @return milliseconds, at the pace of recent responses, or at that which other VMs
	 * observed; 0 if no pace is known
	 */
	long generationMs(int expectedTokens) {
		double tokenMs = outputTokenMs();
		if (tokenMs == 0 && this.sharedStatistics != null) {
			tokenMs = this.sharedStatistics.outputTokenMs();
		}
		return (long) (expectedTokens * tokenMs);
	}

	// Time per expected token, ms.
	private double outputTokenMs() {
		boolean useResponsePace = this.completedResponses >= MIN_RESPONSES || !this.eventPace.hasObservations();
		return useResponsePace ? this.responsePace.value() : this.eventPace.value();
	}

	/**
	 * Returns the merged statistics about the requests and the engines.
	 * @return what this VM observed since it last shared its statistics, merged with
	 * those of all VMs; empty if neither is available
	 */
	public Optional<EngineStatistics> statistics() {
		EngineStatistics shared = (this.sharedStatistics != null) ? this.sharedStatistics.limitSamples(WINDOW_SIZE)
				: null;
		return Optional.ofNullable(
				unsharedStatistics().map((unshared) -> EngineStatistics.merge(shared, unshared)).orElse(shared));
	}

	/**
	 * Returns what this VM observed since it last shared its statistics.
	 * @return the statistics, or empty if there was no request since, or no pace is known
	 */
	public Optional<EngineStatistics> unsharedStatistics() {
		double outputTokenMs = outputTokenMs();
		if (this.unsharedRequests == 0 || !this.prefillTimes.hasSamples() || outputTokenMs == 0) {
			return Optional.empty();
		}
		List<PromptInfo> newRequests = this.recentRequests.stream()
			.skip(this.recentRequests.size() - this.unsharedRequests)
			.toList();
		double promptTokens = Math.max(1, mean(newRequests, PromptInfo::promptTokens));
		return Optional.of(new EngineStatistics(newRequests.size(), promptTokens,
				mean(newRequests, PromptInfo::expectedOutputTokens), mean(newRequests, (p) -> reservationTokens(p, 0)),
				this.prefillTimes.estimateMs(promptTokens) / promptTokens, this.prefillTimes.marginalTokenMs(),
				outputTokenMs, this.outputLengths.model()));
	}

	/**
	 * Marks statistics as shared with the other VMs.
	 * @param shared the shared statistics of this VM's requests
	 */
	public void markShared(EngineStatistics shared) {
		this.unsharedRequests = Math.max(0, this.unsharedRequests - shared.samples());
	}

	private static double mean(List<PromptInfo> requests, ToIntFunction<PromptInfo> tokens) {
		return requests.stream().mapToInt(tokens).average().orElse(0);
	}

}
