package io.shallotspur.membership;

/**
 * What the failure detector wants done. All actions are immutable.
 */
public sealed interface MembershipAction {

	/**
	 * Probe a member; an answer goes to {@link Membership#onAck}.
	 *
	 * @param address where to
	 * @param probe number of the probe
	 * @param ping the message
	 */
	record Probe(String address, long probe, MembershipMessage.Ping ping) implements MembershipAction {

	}

	/**
	 * Probe a member through another one; an answer goes to {@link Membership#onAck}.
	 *
	 * @param address the address of the other one
	 * @param probe number of the probe
	 * @param request the message
	 */
	record ProbeThrough(String address, long probe, MembershipMessage.PingRequest request) implements MembershipAction {

	}

	/**
	 * Send a message that wants no answer.
	 *
	 * @param address where to
	 * @param message the message
	 */
	record Send(String address, MembershipMessage.Gossip message) implements MembershipAction {

	}

	/**
	 * Ask for what this VM is missing; the answer goes to {@link Membership#onSync}.
	 *
	 * @param address where to
	 * @param request the message
	 */
	record Sync(String address, MembershipMessage.SyncRequest request) implements MembershipAction {

	}

	/**
	 * Other members are live or leaving.
	 *
	 * @param view the new view
	 */
	record ViewChanged(View view) implements MembershipAction {

	}

}
