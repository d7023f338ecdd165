package io.shallotspur.gateway;

/**
 * A call to a worker that ended without a complete response.
 *
 * @param sent whether any part of the request may have left this VM
 * @param reason the cause, for the log
 */
public record ExchangeFailure(boolean sent, String reason) {

}
