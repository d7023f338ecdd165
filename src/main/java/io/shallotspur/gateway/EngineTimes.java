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
public final class EngineTimes {

	private static final double LEAD_WEIGHT = 0.05;

	// As a transport connection weighs its round trips for its timeouts. The last eight
	// count, and four deviations are hardly ever passed.
	private static final double PREFILL_WEIGHT = 0.125;

	private static final double LIMIT_DEVIATIONS = 4;

	// The last fifty answers or so tell how long a token takes.
	private static final double STREAMED_DECAY = 0.98;

	// A few hundred events: those of a handful of answers.
	private static final double EVENT_DECAY = 0.997;

	// Enough for a steady mean, few enough to follow a change of the traffic.
	private static final int KEPT = 64;

	// The first answers to end are the short ones, and tell of too short a time for each
	// token that was expected. Until this many have ended the pace of events goes first.
	private static final int LEAST_ANSWERS = 8;

	// Fourteen answers in fifteen are no longer than that. What one takes beyond its
	// place is mostly left by others.
	private static final double RESERVED_DEVIATIONS = 1.5;

	private final AnswerLengths lengths = new AnswerLengths();

	private final Deque<PromptShape> asked = new ArrayDeque<>();

	private final PrefillTimes prefills = new PrefillTimes();

	private int answered;

	private int unshared;

	private @Nullable EngineFigures heard;

	private final DecayedRatio answers = new DecayedRatio(STREAMED_DECAY);

	private final DecayedRatio events = new DecayedRatio(EVENT_DECAY);

	private final SmoothedTime lead = new SmoothedTime(LEAD_WEIGHT);

	private final SmoothedTime prefillWait = new SmoothedTime(PREFILL_WEIGHT);

	/**
	 * Takes a request that has come.
	 * @param prompt what it says of itself
	 */
	void asked(PromptShape prompt) {
		this.asked.addLast(prompt);
		if (this.asked.size() > KEPT) {
			this.asked.removeFirst();
		}
		this.unshared = Math.min(KEPT, this.unshared + 1);
	}

	void prefilled(long ms, PromptShape prompt) {
		this.prefillWait.add(ms);
		this.prefills.add(ms, prompt.promptTokens());
	}

	void firstByte(long ms) {
		this.lead.add(ms);
	}

	/**
	 * Takes that a prefill gave no answer in its time. The next ones are given twice as
	 * long: the queue of a burst grows faster than the mean of what has ended.
	 * @param ms its time in milliseconds
	 */
	void prefillTimedOut(long ms) {
		this.prefillWait.add(2 * ms);
	}

	/**
	 * Returns how long a prefill may take, the wait before it included, until its worker
	 * is taken for lost. With a fixed limit, prompts of a burst would be given up in the
	 * queue of a prefill worker and read again at a decode worker.
	 * @return milliseconds: the mean of the latest and four deviations; 0 before the
	 * first
	 */
	long prefillLimitMs() {
		return (long) this.prefillWait.ms(LIMIT_DEVIATIONS);
	}

	/**
	 * Takes that an answer went on. Its pace is known long before it ends.
	 * @param ms time since its event before, in milliseconds
	 * @param tokens the tokens of an event; 0 if the operator does not say
	 */
	void event(long ms, int tokens) {
		if (tokens > 0) {
			this.events.add(ms, tokens);
		}
	}

	/**
	 * Takes an answer that has ended.
	 * @param ms time from its first event to its last, in milliseconds
	 * @param prompt what its request said of itself
	 * @param tokens its length; 0 if that is not known
	 */
	void streamed(long ms, PromptShape prompt, int tokens) {
		this.answered++;
		this.answers.add(ms, Math.max(1, prompt.likelyOutputTokens()));
		if (tokens > 0) {
			this.lengths.ended(prompt.likelyOutputTokens(), tokens);
		}
	}

	/**
	 * Returns the memory to be set aside for a request: its prompt and its answer, longer
	 * than likely by a deviation. Too little makes the worker drop a running request,
	 * whose answer stands still and whose prompt is read again, and each drop costs more
	 * than the place that a larger reservation takes from others; the longest possible
	 * answer for each would leave a good part of the memory unused.
	 * @param prompt what the request says of itself
	 * @param received tokens of the answer that the caller has already
	 * @return tokens
	 */
	int reservedTokens(PromptShape prompt, int received) {
		double answer = Math.max(received,
				this.lengths.model().tokens(prompt.likelyOutputTokens(), RESERVED_DEVIATIONS));
		return prompt.promptTokens() + (int) Math.min(prompt.maxOutputTokens(), answer);
	}

	/**
	 * Takes what all VMs together have seen.
	 * @param figures the figures
	 */
	public void heard(EngineFigures figures) {
		this.heard = figures;
		this.lengths.heard(figures.lengths());
	}

	/**
	 * Returns how long it takes from a place to the first event, prefill included, for
	 * four requests in five. A request that is given a place with less time left is
	 * likely answered late, and the place is lost to one that could be in time.
	 * @return the running mean and its mean deviation, in milliseconds; 0 before the
	 * first event
	 */
	long leadMs() {
		return (long) this.lead.ms(1);
	}

	/**
	 * Returns how long an answer takes from its first event to its last.
	 * @param likelyTokens the caller's estimate of its tokens
	 * @return milliseconds, at the pace of recent answers, or at that which other VMs
	 * have seen; 0 if nothing was seen
	 */
	long answerMs(int likelyTokens) {
		double ms = answerTokenMs();
		if (ms == 0 && this.heard != null) {
			ms = this.heard.answerTokenMs();
		}
		return (long) (likelyTokens * ms);
	}

	// For each token that was expected, ms.
	private double answerTokenMs() {
		boolean ended = this.answered >= LEAST_ANSWERS || !this.events.hasObservations();
		return ended ? this.answers.value() : this.events.value();
	}

	/**
	 * Returns what is known of the requests and the engines.
	 * @return what this VM has seen since it last told, joined with what all VMs have;
	 * empty if that says nothing of either stage
	 */
	public Optional<EngineFigures> known() {
		EngineFigures h = (this.heard != null) ? this.heard.atMost(KEPT) : null;
		return Optional.ofNullable(unshared().map((f) -> EngineFigures.join(h, f)).orElse(h));
	}

	/**
	 * Returns what this VM has seen since it last told the others.
	 * @return the figures, or empty if no request came since, or none has shown a pace
	 */
	public Optional<EngineFigures> unshared() {
		double answer = answerTokenMs();
		if (this.unshared == 0 || !this.prefills.isKnown() || answer == 0) {
			return Optional.empty();
		}
		List<PromptShape> l = this.asked.stream().skip(this.asked.size() - this.unshared).toList();
		double prompt = Math.max(1, mean(l, PromptShape::promptTokens));
		return Optional.of(new EngineFigures(l.size(), prompt, mean(l, PromptShape::likelyOutputTokens),
				mean(l, (p) -> reservedTokens(p, 0)), this.prefills.ms(prompt) / prompt, this.prefills.addedTokenMs(),
				answer, this.lengths.model()));
	}

	/**
	 * Takes that the others have been told.
	 * @param figures what they were told of this VM's requests
	 */
	public void told(EngineFigures figures) {
		this.unshared = Math.max(0, this.unshared - figures.samples());
	}

	private static double mean(List<PromptShape> l, ToIntFunction<PromptShape> tokens) {
		return l.stream().mapToInt(tokens).average().orElse(0);
	}

}
