package io.shallotspur.pace;

import java.util.Collection;
import java.util.function.Function;

/**
 * Compares the paces of workers that do the same kind of work. Immutable; paces that are
 * learned later change {@link #relative} but not {@link #isUneven}.
 * <p>
 * Invariant: workers are uneven only if one of them states its slowdown, or if one's
 * answers take longer or shorter than the mean by a quarter and by more than their spread
 * explains.
 */
public final class PaceComparison {

	// A smaller difference is not worth a different choice.
	private static final double MIN_DIFFERENCE = 0.25;

	// Hundreds of workers that are alike hardly ever show such a difference by chance.
	private static final double STANDARD_ERRORS = 4;

	private final double referenceMs;

	private final boolean uneven;

	private PaceComparison(double referenceMs, boolean uneven) {
		this.referenceMs = referenceMs;
		this.uneven = uneven;
	}

	/**
	 * Compares workers.
	 * @param paces their paces
	 * @return the comparison
	 */
	public static PaceComparison of(Collection<WorkerPace> paces) {
		double referenceMs = referenceMs(paces, WorkerPace::learned);
		boolean uneven = paces.stream().anyMatch(WorkerPace::isStated)
				|| paces.stream().anyMatch((p) -> differs(p.learned(), referenceMs));
		if (!uneven) {
			double fullReferenceMs = referenceMs(paces, WorkerPace::learnedNearlyFull);
			uneven = paces.stream().anyMatch((p) -> differs(p.learnedNearlyFull(), fullReferenceMs));
		}
		return new PaceComparison(referenceMs, uneven);
	}

	// The harmonic mean: a few slow workers hardly move it.
	private static double referenceMs(Collection<WorkerPace> paces, Function<WorkerPace, SampleMean> samples) {
		double rates = 0;
		int known = 0;
		for (WorkerPace p : paces) {
			SampleMean s = samples.apply(p);
			if (s.isKnown() && s.mean() > 0) {
				rates += 1 / s.mean();
				known++;
			}
		}
		return (known > 0) ? known / rates : 0;
	}

	private static boolean differs(SampleMean s, double referenceMs) {
		return s.isKnown() && Math.abs(s.mean() - referenceMs) > Math.max(MIN_DIFFERENCE * referenceMs,
				STANDARD_ERRORS * s.standardError());
	}

	/**
	 * Tells whether the choice among the workers should consider their paces.
	 * @return {@code false} if all show the same pace and state none
	 */
	public boolean isUneven() {
		return this.uneven;
	}

	/**
	 * Returns how long one unit of work takes at a worker of mean pace.
	 * @return milliseconds; 0 if it is not known
	 */
	public double referenceMs() {
		return this.referenceMs;
	}

	/**
	 * Returns how long work takes at a worker at present, compared with the mean of all.
	 * @param p the worker's pace
	 * @param now the present time in milliseconds
	 * @return the factor; 1 for a worker that is not known to differ
	 */
	public double relative(WorkerPace p, long now) {
		double usual = 1;
		if (p.learned().isKnown() && this.referenceMs > 0) {
			usual += p.learnedWeight(now) * (p.learned().mean() / this.referenceMs - 1);
		}
		return usual * p.slowdown(now);
	}

}
