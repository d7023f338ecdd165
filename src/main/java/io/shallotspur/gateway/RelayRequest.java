package io.shallotspur.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A caller's request with its complete body. Immutable; the body must not be modified.
 *
 * @param id the id set by the caller
 * @param method the HTTP method
 * @param target path and query, as received
 * @param host the host requested by the caller
 * @param headers the fields to be relayed, without hop-by-hop fields
 * @param body the body; empty if there is none
 * @param callerTimeoutMs the caller's timeout, counted from the arrival, in milliseconds,
 * or {@link Long#MAX_VALUE} if it sends none
 * @param prompt prompt and output lengths stated by the request, or {@code null}
 * @param sharedPromptParts the ids of the parts of the prompt that other requests may
 * share, in their order; empty if the request states none
 * @param lastEventId the event after which a stream resumes, or {@code null}
 * @param resumedRequest the id of the request that brought the first event of the stream
 * that this one resumes, or {@code null} if the caller names none
 * @param keyHash the hash of the caller's key, or {@code null} if it sent none or a
 * malformed one
 */
public record RelayRequest(String id, String method, String target, String host, List<HeaderField> headers, byte[] body,
		long callerTimeoutMs, @Nullable PromptInfo prompt, List<String> sharedPromptParts, @Nullable String lastEventId,
		@Nullable String resumedRequest, @Nullable String keyHash) {

	/**
	 * Creates a request; the lists are copied.
	 */
	public RelayRequest {
		headers = List.copyOf(headers);
		sharedPromptParts = List.copyOf(sharedPromptParts);
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
