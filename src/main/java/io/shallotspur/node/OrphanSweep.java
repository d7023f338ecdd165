package io.shallotspur.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.shallotspur.resume.StreamId;

/**
 * Decides which streams of a worker nobody waits for. Not thread-safe.
 * <p>
 * When an entry VM dies, its callers may come back to another VM for the rest of their
 * answers; those who do not would hold engine memory for good. It shows as streams of
 * dead incarnations. A stream is given up when it was seen as an orphan in all sweeps of
 * a grace period. A stream that this VM itself started and does not know any more (its
 * cancel was lost, or overtaken by the call it was to cancel) is an orphan as well.
 */
final class OrphanSweep {

	private final String vm;

	private final long incarnation;

	private final long graceMs;

	private final Map<String, Long> orphanSince = new HashMap<>();

	/**
	 * Creates a sweep that has seen nothing.
	 * @param vm the name of this VM
	 * @param incarnation rises with each start of this VM
	 * @param graceMs how long callers may take to come back, in milliseconds
	 */
	OrphanSweep(String vm, long incarnation, long graceMs) {
		this.vm = vm;
		this.incarnation = incarnation;
		this.graceMs = graceMs;
	}

	/**
	 * Looks at the streams of one worker.
	 * @param streams what the worker holds
	 * @param running tells whether a request of this VM uses a stream
	 * @param adopted tells whether a caller came back for a stream
	 * @param incarnations knows which VMs have died
	 * @param now the present time in milliseconds
	 * @return the streams to be cancelled
	 */
	List<String> decide(List<String> streams, Predicate<StreamId> running, Predicate<String> adopted,
			Incarnations incarnations, long now) {
		Set<String> orphans = new HashSet<>();
		for (String s : streams) {
			Optional<StreamId> id = StreamId.parse(s);
			if (id.isPresent() && !adopted.test(s) && isOrphan(id.get(), running, incarnations)) {
				orphans.add(s);
			}
		}
		this.orphanSince.keySet().retainAll(orphans);
		List<String> givenUp = new ArrayList<>();
		for (String s : orphans) {
			long since = this.orphanSince.computeIfAbsent(s, (x) -> now);
			if (now - since >= this.graceMs) {
				givenUp.add(s);
			}
		}
		return givenUp;
	}

	private boolean isOrphan(StreamId id, Predicate<StreamId> running, Incarnations incarnations) {
		if (!id.vm().equals(this.vm)) {
			return !incarnations.isLive(id.vm(), id.incarnation());
		}
		return id.incarnation() < this.incarnation || (id.incarnation() == this.incarnation && !running.test(id));
	}

}
