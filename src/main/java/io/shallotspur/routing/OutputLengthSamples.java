package io.shallotspur.routing;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Samples of output lengths by customer and request class. A new sample starts with the
 * mean of all requests as its prior. Memory is bounded: the least recently used sample is
 * evicted. Not thread-safe.
 */
public final class OutputLengthSamples {

	private static final int MAX_SAMPLES = 512;

	private final OutputLengthSample allRequests;

	private final Map<Key, OutputLengthSample> byKey = new LinkedHashMap<>(16, 0.75f, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<Key, OutputLengthSample> eldest) {
			return size() > MAX_SAMPLES;
		}

	};

	/**
	 * Creates an empty set of samples.
	 * @param priorTokens the length expected before any observation, in tokens
	 */
	public OutputLengthSamples(int priorTokens) {
		this.allRequests = new OutputLengthSample(priorTokens);
	}

	/**
	 * Returns the sample of a customer and class.
	 * @param customer the customer
	 * @param className the name of the request class
	 * @return the sample
	 */
	public OutputLengthSample sampleFor(String customer, String className) {
		return this.byKey.computeIfAbsent(new Key(customer, className),
				(key) -> new OutputLengthSample((int) this.allRequests.mean()));
	}

	/**
	 * Adds the length of a completed response.
	 * @param customer the customer
	 * @param className the name of the request class
	 * @param tokens the length in tokens
	 */
	public void observe(String customer, String className, int tokens) {
		this.allRequests.observe(tokens);
		sampleFor(customer, className).observe(tokens);
	}

	private record Key(String customer, String className) {

	}

}
