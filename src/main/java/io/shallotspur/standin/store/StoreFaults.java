package io.shallotspur.standin.store;

/**
 * What the key-value stand-in does wrong. Immutable.
 *
 * @param down every call is refused and open watches end
 * @param delayMs each answer is delayed by this time, in milliseconds
 * @param dropBeforeEffect so many of the next writes are dropped without effect, their
 * connections closed without an answer
 * @param dropAfterEffect so many of the writes after those take effect, their connections
 * closed without an answer
 * @param staleWatches changes are not delivered to watches
 */
public record StoreFaults(boolean down, long delayMs, int dropBeforeEffect, int dropAfterEffect, boolean staleWatches) {

	/**
	 * Nothing goes wrong.
	 */
	public static final StoreFaults NONE = new StoreFaults(false, 0, 0, 0, false);

	StoreFaults withOneBeforeLess() {
		return new StoreFaults(this.down, this.delayMs, this.dropBeforeEffect - 1, this.dropAfterEffect,
				this.staleWatches);
	}

	StoreFaults withOneAfterLess() {
		return new StoreFaults(this.down, this.delayMs, this.dropBeforeEffect, this.dropAfterEffect - 1,
				this.staleWatches);
	}

}
