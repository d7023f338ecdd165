package io.shallotspur.replay;

import org.jspecify.annotations.Nullable;

import io.shallotspur.replay.fake.PrefixCache.Prefix;

/**
 * One line of a trace. All lines are immutable.
 */
sealed interface TraceLine {

	/**
	 * Returns when it happens.
	 * @return milliseconds since the start of the trace
	 */
	long atMs();

	/**
	 * A caller sends a request, perhaps again.
	 *
	 * @param atMs when
	 * @param id unique in the trace
	 * @param customer the customer
	 * @param className the class in the customer's contract
	 * @param tokens its token counts, or {@code null} for a call to a plain service
	 * @param cancelAfterMs when the caller leaves, from {@code atMs} on, or {@code null}
	 * @param key the idempotency key, or {@code null}
	 */
	record Request(long atMs, String id, String customer, String className, @Nullable Tokens tokens,
			@Nullable Long cancelAfterMs, @Nullable String key) implements TraceLine {

		Request withCopy(long atMs, String suffix) {
			String k = (this.key != null) ? this.key + suffix : null;
			return new Request(atMs, this.id + suffix, this.customer, this.className, this.tokens, this.cancelAfterMs,
					k);
		}

		/**
		 * Names the request that this line sends, the same for each resend.
		 * @return the customer with the key, or with the id if there is no key
		 */
		String identity() {
			return this.customer + ((this.key != null) ? "\nkey\n" + this.key : "\nid\n" + this.id);
		}

	}

	/**
	 * The token counts of a model request. Immutable.
	 *
	 * @param prefix the shared preamble, or {@code null}
	 * @param prompt tokens of the whole prompt, the preamble among them
	 * @param output tokens of the answer; no scheduler may see it
	 */
	record Tokens(@Nullable Prefix prefix, int prompt, int output) {

	}

	/**
	 * A worker's process dies and comes back later, empty.
	 *
	 * @param atMs when
	 * @param worker the worker
	 */
	record Crash(long atMs, String worker) implements TraceLine {

	}

	/**
	 * A worker is marked as leaving on the VM list.
	 *
	 * @param atMs when
	 * @param worker the worker
	 */
	record Leave(long atMs, String worker) implements TraceLine {

	}

	/**
	 * Transfers to a decode worker make no progress for a while.
	 *
	 * @param atMs when
	 * @param worker the worker
	 * @param forMs how long
	 */
	record Stall(long atMs, String worker, long forMs) implements TraceLine {

	}

	/**
	 * A request crashes each worker that decodes it.
	 *
	 * @param atMs when
	 * @param id the id of one of the request's lines
	 */
	record Poison(long atMs, String id) implements TraceLine {

	}

}
