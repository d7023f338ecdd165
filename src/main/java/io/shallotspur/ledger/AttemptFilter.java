package io.shallotspur.ledger;

/**
 * Lets one answer of one attempt at a time through to a caller, in order and without
 * repetition: late, out-of-order and duplicate pieces of other or former attempts are
 * dropped, so that an answer never mixes two attempts. Not thread-safe.
 * <p>
 * Invariant: the accepted pieces have indexes 0, 1, 2 and so on over all attempts, and
 * nothing is accepted after the end.
 */
public final class AttemptFilter {

	private static final long NONE = -1;

	private long attempt = NONE;

	private long nextIndex;

	private boolean ended;

	/**
	 * Makes an attempt the current one. It has to go on at {@link #nextIndex()}.
	 * @param attempt the attempt, at least 0
	 */
	public void start(long attempt) {
		this.attempt = attempt;
	}

	/**
	 * Takes a piece of an answer.
	 * @param attempt the attempt it belongs to
	 * @param index its place in the answer, from 0
	 * @return whether it is to be passed on
	 */
	public boolean accept(long attempt, long index) {
		if (this.ended || attempt != this.attempt || index != this.nextIndex) {
			return false;
		}
		this.nextIndex++;
		return true;
	}

	/**
	 * Takes the end of an answer.
	 * @param attempt the attempt it belongs to
	 * @param pieces how many pieces the whole answer has
	 * @return whether the answer is whole and the end is to be passed on
	 */
	public boolean end(long attempt, long pieces) {
		if (this.ended || attempt != this.attempt || pieces != this.nextIndex) {
			return false;
		}
		this.ended = true;
		return true;
	}

	/**
	 * Gives up the current attempt: nothing more of it is accepted.
	 */
	public void abandon() {
		this.attempt = NONE;
	}

	/**
	 * Returns the index of the piece that is wanted next.
	 * @return the index
	 */
	public long nextIndex() {
		return this.nextIndex;
	}

}
