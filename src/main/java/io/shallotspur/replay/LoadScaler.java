package io.shallotspur.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Thins or multiplies the requests of a trace. Faults stay as they are. A request, its
 * resends and its poison are kept, left out or copied together. Stateless and
 * thread-safe.
 */
final class LoadScaler {

	/**
	 * Copies come at another moment than the line they copy, or each would be a burst.
	 */
	private static final int SPREAD_MS = 2000;

	private LoadScaler() {
	}

	/**
	 * Scales a trace.
	 * @param trace the trace
	 * @param factor requests of the result for each request of the trace
	 * @param seed chooses the requests
	 * @return the new trace, in order of time
	 */
	static List<TraceLine> scale(List<TraceLine> trace, double factor, long seed) {
		if (factor == 1) {
			return trace;
		}
		List<TraceLine> scaled = new ArrayList<>();
		Set<String> kept = new HashSet<>();
		for (TraceLine line : trace) {
			if (line instanceof TraceLine.Request r) {
				addCopies(r, factor, seed, scaled, kept);
			}
			else if (!(line instanceof TraceLine.Poison p) || kept.contains(p.id())) {
				scaled.add(line);
			}
		}
		scaled.sort(Comparator.comparingLong(TraceLine::atMs));
		return scaled;
	}

	private static void addCopies(TraceLine.Request r, double factor, long seed, List<TraceLine> scaled,
			Set<String> kept) {
		Random random = new Random(seed * 31 + r.identity().hashCode());
		random.nextInt();
		int whole = (int) factor;
		int n = whole + ((random.nextDouble() < factor - whole) ? 1 : 0);
		for (int i = 0; i < n; i++) {
			@Nullable String suffix = (i > 0) ? "~" + i : null;
			long at = r.atMs() + ((i > 0) ? random.nextInt(SPREAD_MS) : 0);
			TraceLine.Request copy = (suffix != null) ? r.withCopy(at, suffix) : r;
			scaled.add(copy);
			kept.add(copy.id());
		}
	}

}
