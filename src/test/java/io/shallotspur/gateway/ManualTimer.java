package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * A timer whose time the test moves.
 */
public final class ManualTimer implements GatewayTimer {

	private final List<Entry> entries = new ArrayList<>();

	private long now = 1_000_000;

	/**
	 * Returns the present time.
	 * @return milliseconds
	 */
	public long now() {
		return this.now;
	}

	@Override
	public Runnable schedule(long delayMs, Runnable task) {
		Entry e = new Entry(this.now + delayMs, task);
		this.entries.add(e);
		return () -> this.entries.remove(e);
	}

	/**
	 * Moves the time on and runs what becomes due.
	 * @param ms by how many milliseconds
	 */
	public void advance(long ms) {
		long end = this.now + ms;
		while (true) {
			Entry e = this.entries.stream()
				.filter((x) -> x.at() <= end)
				.min(Comparator.comparingLong(Entry::at))
				.orElse(null);
			if (e == null) {
				break;
			}
			this.entries.remove(e);
			this.now = Math.max(this.now, e.at());
			e.task().run();
		}
		this.now = end;
	}

	private record Entry(long at, Runnable task) {

	}

}
