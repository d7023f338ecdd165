package io.shallotspur.platform.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The faults of one run, made from its seed. Stateless.
 */
final class FaultPlan {

	private static final long LEAST_MS = 300;

	private static final long MOST_MS = 4_000;

	// The bound on what a worker gets begins three seconds after it names a limit, and is
	// for four.
	private static final long LEAST_LIMITED_MS = 8_000;

	private FaultPlan() {
	}

	// Drawn apart from the others, so that these stay as they were for each seed. Two may
	// follow one another before the first has settled.
	private static List<Fault> restores(long seed, long lengthMs) {
		Random r = new Random(~seed);
		List<Fault> l = new ArrayList<>();
		for (int n = r.nextInt(3); n > 0; n--) {
			long age = LEAST_MS + r.nextInt((int) (MOST_MS - LEAST_MS));
			l.add(new Fault(Fault.Kind.STORE_RESTORED, r.nextInt((int) lengthMs), age, 0));
		}
		return l;
	}

	private static List<Fault> limits(long seed, long lengthMs, int workers) {
		Random r = new Random(~seed * 31);
		List<Fault> l = new ArrayList<>();
		for (int n = r.nextInt(3); n > 0; n--) {
			long lasts = LEAST_LIMITED_MS + r.nextInt((int) LEAST_LIMITED_MS);
			l.add(new Fault(Fault.Kind.WORKER_LIMITED, r.nextInt((int) lengthMs / 2), lasts, r.nextInt(workers)));
		}
		return l;
	}

	/**
	 * Makes a plan. Faults overlap; some come in series at one target.
	 * @param seed the seed
	 * @param lengthMs the time in which faults begin, in milliseconds
	 * @param vms how many VMs there are
	 * @param workers how many workers there are
	 * @return the faults in the order in which they begin
	 */
	static List<Fault> of(long seed, long lengthMs, int vms, int workers) {
		Random r = new Random(seed);
		List<Fault> l = new ArrayList<>();
		List<Fault.Kind> kinds = Fault.Kind.DRAWN;
		int n = 3 + (int) (lengthMs / 1_500);
		while (l.size() < n) {
			Fault.Kind kind = kinds.get(r.nextInt(kinds.size()));
			int most = kind.name().startsWith("WORKER") ? workers : vms;
			int target = r.nextInt(most);
			long at = (long) (r.nextDouble() * lengthMs);
			int series = (r.nextInt(4) == 0) ? 3 : 1;
			for (int i = 0; i < series; i++) {
				long lasts = LEAST_MS + (long) (r.nextDouble() * r.nextDouble() * (MOST_MS - LEAST_MS));
				l.add(new Fault(kind, Math.min(lengthMs, at + i * 900L), lasts, target));
			}
		}
		l.addAll(restores(seed, lengthMs));
		l.addAll(limits(seed, lengthMs, workers));
		l.sort(Comparator.comparingLong(Fault::atMs));
		return l;
	}

}
