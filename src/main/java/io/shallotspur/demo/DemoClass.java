package io.shallotspur.demo;

import io.shallotspur.contract.RequestClass;

/**
 * A class of requests and the traffic that is sent of it. Immutable.
 *
 * @param customer the customer
 * @param terms the class in the customer's contract
 * @param perSecond requests a second
 * @param preamble tokens of the prompt that all requests of the customer share; 0 for
 * plain calls
 * @param own tokens of the prompt that are the request's own
 * @param output tokens of the answer; 0 for plain calls
 * @param leaves of 100 callers, how many leave before the end
 * @param resends of 100 calls, how many are sent a second time under the same key
 */
record DemoClass(String customer, RequestClass terms, double perSecond, int preamble, int own, int output, int leaves,
		int resends) {

	boolean isModel() {
		return this.output > 0;
	}

	String token() {
		return "demo-" + this.customer;
	}

}
