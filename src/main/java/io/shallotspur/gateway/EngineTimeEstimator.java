package io.shallotspur.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.jspecify.annotations.Nullable;

/**
 * What the latest requests of this VM took at the engines of one upstream. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: nothing is assumed. A time that no request has shown is 0, which refuses
 * nobody. With an assumed time for a token, a VM that had just started took long answers
 * of quick engines for ones that cannot end in time, and refused them beside idle
 * workers.
 */
public final class EngineTimeEstimator {

	private static final double FIRST_EVENT_WEIGHT = 0.05;

	// As a transport connection weighs its round trips for its timeouts. The last eight
	// count, and four deviations are hardly ever passed.
	private static final double PREFILL_WEIGHT = 0.125;

	private static final double TIMEOUT_DEVIATIONS = 4;

	// The last fifty answers or so tell how long a token takes.
	private static final double RESPONSE_DECAY = 0.98;

	// A few hundred events: those of a handful of answers.
	private static final double EVENT_DECAY = 0.997;

	// Enough for a steady mean, few enough to follow a change of the traffic.
	private static final int WINDOW_SIZE = 64;

	// The first answers to end are the short ones, and tell of too short a time for each
	// token that was expected. Until this many have ended the pace of events goes first.
	private static final int MIN_RESPONSES = 8;

	// Fourteen answers in fifteen are no longer than that. What one takes beyond its
	// place is mostly left by others.
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
	 * Takes a request that has come.
	 * @param prompt what it says of itself
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
	 * Takes that a prefill gave no answer in its time. The next ones are given twice as
	 * long: the queue of a burst grows faster than the mean of what has ended.
	 * @param ms its time in milliseconds
	 */
	void recordPrefillTimeout(long ms) {
		this.prefillDuration.add(2 * ms);
	}

	/**
	 * Returns how long a prefill may take, the wait before it included, until its worker
	 * is taken for lost. With a fixed limit, prompts of a burst would be given up in the
	 * queue of a prefill worker and read again at a decode worker.
	 * @return milliseconds: the mean of the latest and four deviations; 0 before the
	 * first
	 */
	long prefillTimeoutMs() {
		return (long) this.prefillDuration.estimateMs(TIMEOUT_DEVIATIONS);
	}

	/**
	 * Takes that an answer went on. Its pace is known long before it ends.
	 * @param ms time since its event before, in milliseconds
	 * @param tokens the tokens of an event; 0 if the operator does not say
	 */
	void recordEvent(long ms, int tokens) {
		if (tokens > 0) {
			this.eventPace.add(ms, tokens);
		}
	}

	/**
	 * Takes an answer that has ended.
	 * @param ms time from its first event to its last, in milliseconds
	 * @param prompt what its request said of itself
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
	 * Returns the memory to be set aside for a request: its prompt and its answer, longer
	 * than likely by a deviation. Too little makes the worker drop a running request,
	 * whose answer stands still and whose prompt is read again, and each drop costs more
	 * than the place that a larger reservation takes from others; the longest possible
	 * answer for each would leave a good part of the memory unused.
	 * @param prompt what the request says of itself
	 * @param receivedTokens tokens of the answer that the caller has already
	 * @return tokens
	 */
	int reservationTokens(PromptInfo prompt, int receivedTokens) {
		double outputTokens = Math.max(receivedTokens,
				this.outputLengths.model().estimateTokens(prompt.expectedOutputTokens(), RESERVATION_DEVIATIONS));
		return prompt.promptTokens() + (int) Math.min(prompt.maxOutputTokens(), outputTokens);
	}

	/**
	 * Takes what all VMs together have seen.
	 * @param statistics the figures
	 */
	public void setSharedStatistics(EngineStatistics statistics) {
		this.sharedStatistics = statistics;
		this.outputLengths.setPrior(statistics.lengthModel());
	}

	/**
	 * Returns how long it takes from a place to the first event, prefill included, for
	 * four requests in five. A request that is given a place with less time left is
	 * likely answered late, and the place is lost to one that could be in time.
	 * @return the running mean and its mean deviation, in milliseconds; 0 before the
	 * first event
	 */
	long timeToFirstEventMs() {
		return (long) this.timeToFirstEvent.estimateMs(1);
	}

	/**
	 * Returns how long an answer takes from its first event to its last.
	 * @param expectedTokens the caller's estimate of its tokens
	 * @return milliseconds, at the pace of recent answers, or at that which other VMs
	 * have seen; 0 if nothing was seen
	 */
	long generationMs(int expectedTokens) {
		double tokenMs = outputTokenMs();
		if (tokenMs == 0 && this.sharedStatistics != null) {
			tokenMs = this.sharedStatistics.outputTokenMs();
		}
		return (long) (expectedTokens * tokenMs);
	}

	// For each token that was expected, ms.
	private double outputTokenMs() {
		boolean useResponsePace = this.completedResponses >= MIN_RESPONSES || !this.eventPace.hasObservations();
		return useResponsePace ? this.responsePace.value() : this.eventPace.value();
	}

	/**
	 * Returns what is known of the requests and the engines.
	 * @return what this VM has seen since it last told, joined with what all VMs have;
	 * empty if that says nothing of either stage
	 */
	public Optional<EngineStatistics> statistics() {
		EngineStatistics shared = (this.sharedStatistics != null) ? this.sharedStatistics.limitSamples(WINDOW_SIZE) : null;
		return Optional.ofNullable(unsharedStatistics().map((unshared) -> EngineStatistics.merge(shared, unshared)).orElse(shared));
	}

	/**
	 * Returns what this VM has seen since it last told the others.
	 * @return the figures, or empty if no request came since, or none has shown a pace
	 */
	public Optional<EngineStatistics> unsharedStatistics() {
		double outputTokenMs = outputTokenMs();
		if (this.unsharedRequests == 0 || !this.prefillTimes.isKnown() || outputTokenMs == 0) {
			return Optional.empty();
		}
		List<PromptInfo> newRequests = this.recentRequests.stream().skip(this.recentRequests.size() - this.unsharedRequests).toList();
		double promptTokens = Math.max(1, mean(newRequests, PromptInfo::promptTokens));
		return Optional.of(new EngineStatistics(newRequests.size(), promptTokens, mean(newRequests, PromptInfo::expectedOutputTokens),
				mean(newRequests, (p) -> reservationTokens(p, 0)), this.prefillTimes.estimateMs(promptTokens) / promptTokens, this.prefillTimes.marginalTokenMs(),
				outputTokenMs, this.outputLengths.model()));
	}

	/**
	 * Takes that the others have been told.
	 * @param shared what they were told of this VM's requests
	 */
	public void markShared(EngineStatistics shared) {
		this.unsharedRequests = Math.max(0, this.unsharedRequests - shared.samples());
	}

	private static double mean(List<PromptInfo> requests, ToIntFunction<PromptInfo> tokens) {
		return requests.stream().mapToInt(tokens).average().orElse(0);
	}

}
