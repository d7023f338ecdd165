package io.shallotspur.order;

import java.util.Locale;

import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.ShallotspurException;

/**
 * An order to an engine was not carried out.
 */
public final class OrderException extends ShallotspurException {

	private final OrderFault fault;

	/**
	 * Creates an exception.
	 * @param fault why
	 * @param worker the worker
	 * @param cause the failure below this one, or {@code null}
	 */
	public OrderException(OrderFault fault, String worker, @Nullable Throwable cause) {
		super("the order was not carried out: " + fault.name().toLowerCase(Locale.ROOT).replace('_', ' '), worker,
				cause);
		this.fault = fault;
	}

	/**
	 * Returns why the order was not carried out.
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
