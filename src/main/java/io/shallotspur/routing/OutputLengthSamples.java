package io.shallotspur.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learnt output lengths by customer and class. A kind not seen before starts from the
 * mean of all. Bounded: the kind used least recently is forgotten. Not thread-safe.
 */
public final class OutputLengthSamples {

	private static final int MAX_KINDS = 512;

	private final OutputLengthSample all;

	private final Map<Kind, OutputLengthSample> byKind = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Kind, OutputLengthSample> eldest) {
			return size() > MAX_KINDS;
		}

	};

	/**
	 * Creates the learner.
	 * @param priorTokens the length expected before anything is learnt
	 */
	public OutputLengthSamples(int priorTokens) {
		this.all = new OutputLengthSample(priorTokens);
	}

	/**
	 * Returns the sample of a kind of request.
	 * @param customer the customer
	 * @param className the class
	 * @return its sample
	 */
	public OutputLengthSample sampleFor(String customer, String className) {
		return this.byKind.computeIfAbsent(new Kind(customer, className),
				(k) -> new OutputLengthSample((int) this.all.mean()));
	}

	/**
	 * Adds the length of a complete answer.
	 * @param customer the customer
	 * @param className the class
	 * @param tokens the length in tokens
	 */
	public void observe(String customer, String className, int tokens) {
		this.all.observe(tokens);
		sampleFor(customer, className).observe(tokens);
	}

	private record Kind(String customer, String className) {

	}

}
