package io.shallotspur.quarantine;

/**
 * How a part of a prompt is recognized in other requests to an upstream. Immutable.
 *
 * @param part the fingerprint of the part in the prompts of any customer
 * @param ofCustomer the fingerprint of the part in the prompts of the request's customer
 */
public record PartFingerprint(long part, long ofCustomer) {

}
