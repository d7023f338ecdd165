package io.shallotspur.membership;

/**
 * Times and sizes of the failure detector. Immutable.
 *
 * @param periodMs one member is probed in each period, in milliseconds
 * @param directTimeoutMs an unanswered probe is repeated through others after this time
 * @param indirectProbes through how many others
 * @param suspicionPeriods a suspect has so many periods to refute, times the decimal
 * logarithm of the number of members (at least 1)
 * @param pauseMs the process counts as paused if its loop stood still for this long
 * @param forgetMs a dead member is forgotten after this time
 * @param fanout a new statement is sent to so many members at once
 * @param maxUpdates the most statements in one message
 * @param candidateMs how often one candidate that is not alive is tried
 */
public record MembershipSettings(long periodMs, long directTimeoutMs, int indirectProbes, double suspicionPeriods,
		long pauseMs, long forgetMs, int fanout, int maxUpdates, long candidateMs) {

	/**
	 * The defaults.
	 */
	public static final MembershipSettings DEFAULT = new MembershipSettings(1000, 300, 3, 2, 1500, 600_000, 4, 8, 2000);

	/**
	 * Returns how long a suspect has to refute.
	 * @param members the number of members
	 * @return the time in milliseconds
	 */
	public long suspicionMs(int members) {
		return (long) (this.periodMs * this.suspicionPeriods * Math.max(1, Math.log10(members + 1)));
	}

	/**
	 * Returns how often a statement is passed on with probes.
	 * @param members the number of members
	 * @return the number of times
	 */
	public int transmissions(int members) {
		return 2 + 32 - Integer.numberOfLeadingZeros(members);
	}

}
