package io.shallotspur.distribution;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.jspecify.annotations.Nullable;

import io.shallotspur.contract.Contract;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.StoreRecord;

/**
 * Reads and writes contracts as JSON, for the store and for the admin API. Stateless and
 * thread-safe.
 */
public final class ContractJson {

	private static final ObjectMapper JSON = JsonMapper.builder()
		.propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
		.build();

	private static final ObjectMapper STRICT = JSON.copy().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private static final ObjectMapper LENIENT = JSON.copy().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private static final int MAX_MESSAGE_LENGTH = 200;

	private ContractJson() {
	}

	/**
	 * Serializes a value for the admin API.
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
	 * Parses a contract submitted by an operator. Unknown fields are rejected.
	 * @param body the JSON
	 * @param customer the customer to whom the contract must belong
	 * @return the contract with revision 0, not yet validated
	 * @throws ContractInvalidException if the contract is malformed, retired or belongs
	 * to another customer
	 */
	public static Contract readContract(byte[] body, String customer) throws ContractInvalidException {
		Contract c = parse(body, customer);
		if (!customer.equals(c.customer())) {
			throw new ContractInvalidException("the contract belongs to another customer: " + c.customer(), customer);
		}
		if (c.retired()) {
			throw new ContractInvalidException("contracts can only be retired with DELETE", customer);
		}
		return c.withRevision(0);
	}

	static byte[] writeBucket(ContractBucket bucket) {
		return write(bucket);
	}

	static ContractBucket readBucket(StoreRecord rec) throws StoreUnavailableException {
		try {
			ContractBucket bucket = LENIENT.readValue(rec.value(), ContractBucket.class);
			if (bucket == null) {
				throw new StoreUnavailableException("the record is JSON null", rec.key());
			}
			return bucket;
		}
		catch (IOException ex) {
			throw new StoreUnavailableException("the record is not a valid contract bucket: " + firstLine(ex),
					rec.key(), ex);
		}
	}

	private static Contract parse(byte[] body, String customer) throws ContractInvalidException {
		try {
			Contract c = STRICT.readValue(body, Contract.class);
			if (c == null) {
				throw new ContractInvalidException("the request body is JSON null", customer);
			}
			return c;
		}
		catch (IOException ex) {
			throw new ContractInvalidException("the contract is malformed: " + firstLine(ex), customer, ex);
		}
	}

	private static String firstLine(IOException ex) {
		return firstLine((ex instanceof JsonProcessingException e) ? e.getOriginalMessage() : ex.getMessage());
	}

	static String firstLine(@Nullable String message) {
		String line = String.valueOf(message).lines().findFirst().orElse("");
		return line.substring(0, Math.min(MAX_MESSAGE_LENGTH, line.length()));
	}

}
