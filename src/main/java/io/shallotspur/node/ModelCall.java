package io.shallotspur.node;

import io.shallotspur.cell.ModelRequest;

/**
 * An authenticated model request. Immutable; the array is not copied.
 *
 * @param request the request as the scheduler sees it
 * @param body the body as the caller sent it
 * @param key the Idempotency-Key, or empty
 * @param contractRevision the revision of the contract that admits it
 */
public record ModelCall(ModelRequest request, byte[] body, String key, long contractRevision) {

}
