package io.shallotspur.node;

import java.util.Optional;

import io.shallotspur.contract.BearerKey;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * The terms that a request is admitted under. Immutable.
 *
 * @param contract the contract of the customer
 * @param requestClass the class
 * @param deadlineAt when the answer is of no more use, in milliseconds
 */
record Admission(Contract contract, RequestClass requestClass, long deadlineAt) {

	// In ms.
	private static final long RETRY_AFTER_MS = 1_000;

	/**
	 * Finds the terms of a request that a caller sent.
	 * @param contracts the contracts in force
	 * @param r the request
	 * @param now the present time in milliseconds
	 * @return the terms
	 * @throws RefusedException if there are none
	 */
	static Admission of(ContractSet contracts, CallerRequest r, long now) throws RefusedException {
		return of(authenticate(contracts, r.bearer()), r.className(), r.key(), r.deadlineMs(), now);
	}

	/**
	 * Finds the terms of a request that another entry VM has authenticated.
	 * @param contracts the contracts in force
	 * @param customer the customer
	 * @param className the class
	 * @param key the Idempotency-Key, or empty
	 * @param remainingMs how long the caller waits, in milliseconds
	 * @param now the present time in milliseconds
	 * @return the terms
	 * @throws RefusedException if there are none
	 */
	static Admission forwarded(ContractSet contracts, String customer, String className, String key, long remainingMs,
			long now) throws RefusedException {
		return of(find(contracts, customer), className, key, remainingMs, now);
	}

	/**
	 * Returns how long the caller waits yet.
	 * @param now the present time in milliseconds
	 * @return the span in milliseconds, at least 1
	 */
	long remainingMs(long now) {
		return Math.max(1, this.deadlineAt - now);
	}

	/**
	 * Finds the contract that a bearer token belongs to.
	 * @param contracts the contracts in force
	 * @param bearer the token
	 * @return the contract
	 * @throws RefusedException if no contract that can be read has the token
	 */
	static Contract authenticate(ContractSet contracts, String bearer) throws RefusedException {
		Optional<Contract> c = bearer.isEmpty() ? Optional.empty() : contracts.findByKeyHash(BearerKey.hash(bearer));
		if (c.isEmpty()) {
			throw notFound(contracts, RefusalCode.UNAUTHORIZED, "No contract has this bearer token.");
		}
		return c.get();
	}

	/**
	 * Finds the contract of a customer.
	 * @param contracts the contracts in force
	 * @param customer the customer
	 * @return the contract
	 * @throws RefusedException if the customer has none, or it cannot be read
	 */
	static Contract find(ContractSet contracts, String customer) throws RefusedException {
		Optional<Contract> c = contracts.find(customer);
		if (c.isEmpty()) {
			throw notFound(contracts, RefusalCode.UNKNOWN_CUSTOMER, "No contract is in force for the customer.");
		}
		return c.get();
	}

	private static RefusedException notFound(ContractSet contracts, RefusalCode code, String detail) {
		if (contracts.isPartial()) {
			return new RefusedException(Refusal.notRun(RefusalCode.STORE_UNAVAILABLE,
					"Some contracts cannot be read; the request was not run. Send it again.", RETRY_AFTER_MS));
		}
		return RefusedException.notRun(code, detail);
	}

	private static Admission of(Contract contract, String className, String key, long deadlineMs, long now)
			throws RefusedException {
		Optional<RequestClass> c = contract.findClass(className);
		if (c.isEmpty()) {
			throw RefusedException.notRun(RefusalCode.UNKNOWN_CLASS, "The contract has no class of this name.");
		}
		if (!c.get().repeatable() && key.isEmpty()) {
			throw RefusedException.notRun(RefusalCode.KEY_REQUIRED,
					"Requests of this class run once at most and need an Idempotency-Key.");
		}
		long ms = (deadlineMs > 0) ? Math.min(deadlineMs, c.get().deadlineMs()) : c.get().deadlineMs();
		return new Admission(contract, c.get(), now + ms);
	}

}
