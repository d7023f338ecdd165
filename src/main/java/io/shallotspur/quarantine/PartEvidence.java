package io.shallotspur.quarantine;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * What answers say about parts of prompts: to which of them workers have written complete
 * answers, and when they last did. A completed prefill is no such evidence, since a part
 * may crash a worker only when it begins to write the answer. Not thread-safe.
 * <p>
 * Invariant: a bounded number of parts is kept, those that were answered last.
 */
final class PartEvidence {

	private static final int MAX_PARTS = 4_096;

	private final long validMs;

	// The one that was answered longest ago first.
	private final Map<Long, Long> answeredAt = new LinkedHashMap<>();

	private final Map<String, Long> upstreamAnsweredAt = new HashMap<>();

	// The upstreams of the parts that were present at crashes of this node.
	private final Map<Long, String> upstreams = new HashMap<>();

	/**
	 * Creates an instance without evidence.
	 * @param validMs how long an answer speaks for a part, in milliseconds
	 */
	PartEvidence(long validMs) {
		this.validMs = validMs;
	}

	void recordAnswer(Collection<PartFingerprint> parts, String upstream, long now) {
		this.upstreamAnsweredAt.put(upstream, now);
		for (PartFingerprint p : parts) {
			this.answeredAt.remove(p.part());
			this.answeredAt.put(p.part(), now);
		}
		while (this.answeredAt.size() > MAX_PARTS) {
			this.answeredAt.remove(this.answeredAt.keySet().iterator().next());
		}
	}

	void recordCrash(long part, String upstream) {
		this.upstreams.put(part, upstream);
	}

	void retainCrashed(Collection<Long> parts) {
		this.upstreams.keySet().retainAll(parts);
	}

	/**
	 * Returns what the answers say about a part at a crash.
	 * @param part the fingerprint of the part
	 * @param crash the crash
	 * @param now the present time in milliseconds
	 * @return the lowest state of the crash in the history of the part
	 */
	CrashState stateAt(long part, Crash crash, long now) {
		Long at = this.answeredAt.get(part);
		if (at == null || at + this.validMs <= now) {
			return CrashState.OPEN;
		}
		return (at >= crash.at()) ? CrashState.CLEARED : CrashState.PROVEN;
	}

	/**
	 * Returns whether the upstream of a part has answered anything. While it does not,
	 * what all its prompts share was present at each crash, whatever the cause.
	 * @param part the fingerprint of the part
	 * @param since the time in milliseconds
	 * @return {@code true} if this node knows of an answer since then, and was itself
	 * running a prompt with the part at a crash
	 */
	boolean upstreamAnsweredSince(long part, long since) {
		@Nullable String upstream = this.upstreams.get(part);
		return upstream != null && this.upstreamAnsweredAt.getOrDefault(upstream, Long.MIN_VALUE) >= since;
	}

}
