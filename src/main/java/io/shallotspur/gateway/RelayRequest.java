package io.shallotspur.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * One request of a caller, read whole. Immutable; the body must not be changed.
 *
 * @param id the id that the caller gave it
 * @param method the method
 * @param target path and query, as sent
 * @param host the host that the caller named
 * @param headers the fields to be relayed, without those of one connection
 * @param body the body; empty if there is none
 * @param callerTimeoutMs how long the caller waits from the arrival on, in milliseconds, or
 * {@link Long#MAX_VALUE} if it does not say
 * @param prompt what the request says of its prompt, or {@code null}
 * @param lastEventId the event after which a resumed stream goes on, or {@code null}
 * @param keyHash the hash of the key that the caller sent, or {@code null} if it sent
 * none, or none that can be read
 */
public record RelayRequest(String id, String method, String target, String host, List<HeaderField> headers, byte[] body,
		long callerTimeoutMs, @Nullable PromptInfo prompt, @Nullable String lastEventId, @Nullable String keyHash) {

	/**
	 * Creates a request; the list is copied.
	 */
	public RelayRequest {
		headers = List.copyOf(headers);
	}

	/**
	 * Returns the path without the query.
	 * @return the path
	 */
	public String path() {
		int q = this.target.indexOf('?');
		return (q >= 0) ? this.target.substring(0, q) : this.target;
	}

}
