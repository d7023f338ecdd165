package io.shallotspur.order;

import java.util.Locale;

import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.ShallotspurException;

/**
 * Thrown when an order to an engine fails.
 */
public final class OrderException extends ShallotspurException {

	private final OrderFault fault;

	/**
	 * Creates an exception.
	 * @param fault the reason for the failure
	 * @param workerId the id of the worker that the order was for
	 * @param cause the underlying failure, or {@code null}
	 */
	public OrderException(OrderFault fault, String workerId, @Nullable Throwable cause) {
		super("the order to the engine failed: " + fault.name().toLowerCase(Locale.ROOT).replace('_', ' '), workerId,
				cause);
		this.fault = fault;
	}

	/**
	 * Returns the reason for the failure.
	 * @return the fault
	 */
	public OrderFault getFault() {
		return this.fault;
	}

	@Override
	public String getCode() {
		return "order-failed";
	}

}
