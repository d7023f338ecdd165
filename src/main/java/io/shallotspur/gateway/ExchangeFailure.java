package io.shallotspur.gateway;

/**
 * How a call to a worker ended without a whole answer.
 *
 * @param sent whether some of the request may have left this VM
 * @param reason what was seen, for the log
 */
public record ExchangeFailure(boolean sent, String reason) {

}
