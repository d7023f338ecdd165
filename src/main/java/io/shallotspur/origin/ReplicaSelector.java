package io.shallotspur.origin;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

import net.openhft.hashing.LongHashFunction;

/**
 * Selects the VMs that remember a stream by rendezvous hashing: VMs with the same view of
 * the registrations select the same ones, and one VM more or less changes one place of
 * the order. Stateless.
 */
final class ReplicaSelector {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private ReplicaSelector() {
	}

	/**
	 * Selects the first VMs for a stream.
	 * @param request the id of the request that brought its first event
	 * @param addresses the addresses of the VMs
	 * @param count the number of VMs
	 * @return at most that many addresses, the first of the order first
	 */
	static List<String> select(String request, List<String> addresses, int count) {
		long seed = HASH.hashChars(request);
		LongHashFunction ofStream = LongHashFunction.xx3(seed);
		PriorityQueue<Scored> best = new PriorityQueue<>(count + 1);
		for (String a : addresses) {
			best.add(new Scored(ofStream.hashChars(a), a));
			if (best.size() > count) {
				best.remove();
			}
		}
		List<Scored> ordered = new ArrayList<>(best);
		ordered.sort(null);
		List<String> l = new ArrayList<>();
		for (int i = ordered.size() - 1; i >= 0; i--) {
			l.add(ordered.get(i).address());
		}
		return l;
	}

	private record Scored(long score, String address) implements Comparable<Scored> {

		@Override
		public int compareTo(Scored other) {
			int c = Long.compare(this.score, other.score);
			return (c != 0) ? c : this.address.compareTo(other.address);
		}

	}

}
