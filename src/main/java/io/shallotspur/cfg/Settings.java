package io.shallotspur.cfg;

import java.util.List;

/**
 * All settings of an entry VM. Immutable and checked: an instance exists only if every
 * value is allowed.
 *
 * @param node who this entry VM is
 * @param callers the callers' HTTP
 * @param admin the operators' HTTP
 * @param peers the links between entry VMs
 * @param platform the platform's services
 * @param log what is logged
 * @param ledger the ledger
 * @param resume resuming
 * @param drainGraceMs a leaving VM ends requests that last longer than this, in
 * milliseconds
 * @param upstreams the upstreams
 */
public record Settings(NodeIdentity node, CallersSection callers, AdminSection admin, PeersSection peers,
		PlatformSection platform, LogSection log, LedgerSection ledger, ResumeSection resume, long drainGraceMs,
		List<UpstreamSection> upstreams) {

	public Settings {
		upstreams = List.copyOf(upstreams);
	}

}
