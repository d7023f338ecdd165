package io.shallotspur.node.forward;

import java.util.Map;

import io.shallotspur.port.PeerMessage;

/**
 * The type numbers of forwarded requests, 40 to 59. A number is never given to another
 * message.
 */
public final class ForwardTypes {

	private static final Map<Integer, Class<? extends PeerMessage>> ALL = Map.of(40, ForwardModel.class, 41,
			ForwardPlain.class, 42, ForwardStarted.class, 43, ForwardTokens.class, 44, ForwardRefused.class, 45,
			ForwardReply.class, 46, StreamAdopted.class);

	private ForwardTypes() {
	}

	/**
	 * Returns all messages of this package.
	 * @return the messages by type number
	 */
	public static Map<Integer, Class<? extends PeerMessage>> all() {
		return ALL;
	}

}
