package io.shallotspur.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;

import io.shallotspur.contract.Contract;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.StoreRecord;

/**
 * The JSON form of contracts, in the store and in the operators' API. Stateless and
 * thread-safe.
 */
public final class ContractJson {

	private static final ObjectMapper JSON = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.build();

	private static final ObjectMapper STRICT = JSON.copy().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private static final ObjectMapper LENIENT = JSON.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private ContractJson() {
	}

	/**
	 * Writes a value in the form of the operators' API.
	 * @param value a contract or a list of contracts
	 * @return the JSON
	 */
	public static byte[] write(Object value) {
		try {
			return JSON.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Reads a contract as an operator wrote it. An unknown field is an error.
	 * @param body the JSON
	 * @param customer the customer it must be about
	 * @return the contract with revision 0, not yet validated
	 * @throws ContractInvalidException if it is malformed or about someone else
	 */
	public static Contract readContract(byte[] body, String customer) throws ContractInvalidException {
		Contract c = parse(body, customer);
		if (!customer.equals(c.customer())) {
			throw new ContractInvalidException("the contract is about another customer: " + c.customer(), customer);
		}
		if (c.retired()) {
			throw new ContractInvalidException("a contract is retired by DELETE", customer);
		}
		return c.withRevision(0);
	}

	static byte[] writeBucket(ContractBucket b) {
		return write(b);
	}

	static ContractBucket readBucket(StoreRecord rec) throws StoreUnavailableException {
		try {
			return LENIENT.readValue(rec.value(), ContractBucket.class);
		}
		catch (IOException ex) {
			throw new StoreUnavailableException("the record cannot be read", rec.key(), ex);
		}
	}

	private static Contract parse(byte[] body, String customer) throws ContractInvalidException {
		try {
			Contract c = STRICT.readValue(body, Contract.class);
			if (c == null) {
				throw new ContractInvalidException("the body is empty", customer);
			}
			return c;
		}
		catch (IOException ex) {
			throw new ContractInvalidException("the contract cannot be read: " + firstLine(ex), customer, ex);
		}
	}

	private static String firstLine(IOException ex) {
		String m = (ex instanceof JsonProcessingException e) ? e.getOriginalMessage() : ex.getMessage();
		return String.valueOf(m).lines().findFirst().orElse("");
	}

}
