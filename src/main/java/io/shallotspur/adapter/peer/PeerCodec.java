package io.shallotspur.adapter.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.jackson.dataformat.JsonArrayFormat;
import org.msgpack.jackson.dataformat.MessagePackMapper;

import io.shallotspur.exc.PeerException;
import io.shallotspur.port.MessageRegistry;
import io.shallotspur.port.PeerMessage;

/**
 * Turns peer messages into MessagePack and back. Immutable and freely shared.
 * <p>
 * A record is written as an array of its components in order. A newer version of a record
 * may only add components at its end: an older reader skips them, and a newer reader
 * takes the default value for those that an older writer left out.
 */
public final class PeerCodec {

	private final ObjectMapper mapper;

	private final Map<Integer, Class<? extends PeerMessage>> byNumber;

	private final Map<Class<?>, Integer> byClass;

	private PeerCodec(Builder b) {
		this.mapper = new MessagePackMapper();
		this.mapper.setAnnotationIntrospector(new JsonArrayFormat());
		this.mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		this.byNumber = Map.copyOf(b.byNumber);
		this.byClass = Map.copyOf(b.byClass);
	}

	/**
	 * Starts an empty codec.
	 * @return a builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the type number of a message.
	 * @param message the message
	 * @return its number
	 * @throws PeerException if its class is not registered
	 */
	public int typeNumber(PeerMessage message) throws PeerException {
		Integer n = this.byClass.get(message.getClass());
		if (n == null) {
			throw new PeerException("message class is not registered", message.getClass().getName());
		}
		return n;
	}

	/**
	 * Writes a message.
	 * @param message the message
	 * @return its bytes without the type number
	 * @throws PeerException if it cannot be written
	 */
	public byte[] encode(PeerMessage message) throws PeerException {
		try {
			return this.mapper.writeValueAsBytes(message);
		}
		catch (JsonProcessingException ex) {
			throw new PeerException("message cannot be encoded", message.getClass().getName(), ex);
		}
	}

	/**
	 * Reads a message.
	 * @param typeNumber the number of its type
	 * @param body its bytes
	 * @return the message
	 * @throws PeerException if the number is not registered or the bytes are malformed
	 */
	public PeerMessage decode(int typeNumber, byte[] body) throws PeerException {
		Class<? extends PeerMessage> type = this.byNumber.get(typeNumber);
		if (type == null) {
			throw new PeerException("message type " + typeNumber + " is not registered", null);
		}
		try {
			PeerMessage m = this.mapper.readValue(body, type);
			if (m == null) {
				throw new PeerException("message is nil", type.getName());
			}
			return m;
		}
		catch (IOException | IllegalArgumentException ex) {
			throw new PeerException("message is malformed", type.getName(), ex);
		}
	}

	/**
	 * Collects the registered types. Not thread-safe.
	 */
	public static final class Builder implements MessageRegistry {

		private final Map<Integer, Class<? extends PeerMessage>> byNumber = new HashMap<>();

		private final Map<Class<?>, Integer> byClass = new HashMap<>();

		private Builder() {
		}

		@Override
		public Builder register(int typeNumber, Class<? extends PeerMessage> type) {
			boolean taken = this.byNumber.putIfAbsent(typeNumber, type) != null;
			if (typeNumber < 1 || taken || this.byClass.putIfAbsent(type, typeNumber) != null) {
				throw new IllegalArgumentException("type number " + typeNumber + " or " + type + " registered twice");
			}
			return this;
		}

		/**
		 * Builds the codec.
		 * @return an immutable codec
		 */
		public PeerCodec build() {
			return new PeerCodec(this);
		}

	}

}
