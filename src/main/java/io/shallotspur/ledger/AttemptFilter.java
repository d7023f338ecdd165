package io.shallotspur.ledger;

/**
 * Decides which response chunks are forwarded: those of the current attempt only, in
 * order and without duplicates. Late, out-of-order and duplicate chunks and those of
 * other or earlier attempts are rejected, so that stale output of one attempt is never
 * interleaved with that of another. Not thread-safe.
 * <p>
 * Invariant: accepted chunks have consecutive indexes from 0 across all attempts, and
 * nothing is accepted after the end of the response.
 */
public final class AttemptFilter {

	private static final long NO_ATTEMPT = -1;

	private long currentAttempt = NO_ATTEMPT;

	private long nextIndex;

	private boolean ended;

	/**
	 * Makes an attempt the current one. It must continue at {@link #nextIndex()}.
	 * @param attempt the attempt, at least 0
	 */
	public void start(long attempt) {
		this.currentAttempt = attempt;
	}

	/**
	 * Checks whether a chunk is the next one of the current attempt and, if so, advances
	 * the expected index.
	 * @param attempt the attempt it belongs to
	 * @param index its index in the response, from 0
	 * @return {@code true} if the chunk is to be forwarded to the caller
	 */
	public boolean accept(long attempt, long index) {
		if (this.ended || attempt != this.currentAttempt || index != this.nextIndex) {
			return false;
		}
		this.nextIndex++;
		return true;
	}

	/**
	 * Checks whether the end of a response completes the current attempt.
	 * @param attempt the attempt it belongs to
	 * @param chunkCount number of chunks in the complete response
	 * @return {@code true} if all chunks were accepted and the end is to be forwarded
	 */
	public boolean end(long attempt, long chunkCount) {
		if (this.ended || attempt != this.currentAttempt || chunkCount != this.nextIndex) {
			return false;
		}
		this.ended = true;
		return true;
	}

	/**
	 * Abandons the current attempt; its later chunks are dropped.
	 */
	public void abandon() {
		this.currentAttempt = NO_ATTEMPT;
	}

	/**
	 * Returns the index of the next expected chunk.
	 * @return the index
	 */
	public long nextIndex() {
		return this.nextIndex;
	}

}
