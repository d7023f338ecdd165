package io.shallotspur.adapter.store;

/**
 * Counts calls by second. Not thread-safe.
 */
final class CallMeter {

	private static final long SECOND_MS = 1000;

	private long second;

	private long current;

	private long previous;

	private long total;

	void count(long now) {
		roll(now);
		this.current++;
		this.total++;
	}

	long lastSecond(long now) {
		roll(now);
		return this.previous;
	}

	long total() {
		return this.total;
	}

	private void roll(long now) {
		long s = now / SECOND_MS;
		if (s == this.second) {
			return;
		}
		this.previous = (s == this.second + 1) ? this.current : 0;
		this.current = 0;
		this.second = s;
	}

}
