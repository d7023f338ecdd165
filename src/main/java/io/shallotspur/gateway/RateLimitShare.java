package io.shallotspur.gateway;

/**
 * Decides which part of a worker's limit is this VM's. Stateless.
 * <p>
 * Answers a worker in need that asks all VMs together for less. Each VM sees its own
 * requests only, and cannot ask the others with each of them. So the limit is shared out
 * among the VMs that callers are told to use, of which all know the same ones; for a
 * moment two sets may differ by a VM, which the workers' tolerance bears.
 * <p>
 * A VM whose part were less than one request now and then would still save one up, and
 * many such VMs together could send all at once. So only so many VMs have a part as the
 * limit has requests a second, and a few more. The others leave the worker alone, but for
 * their turn: without it they would never hear that the limit has ended.
 */
final class RateLimitShare {

	// VMs with a part beyond the requests a second: a limit of less than two a second is
	// shared by two VMs all the same, as one may be lost.
	private static final int EXTRA_SHARERS = 2;

	// A worker that takes nothing at all is asked now and then whether it does again,
	// requests a second of all VMs together.
	private static final double MIN_PER_S = 0.25;

	// How long a turn lasts, ms, and between two turns how many such times for each VM.
	// Turns come at random between the VMs, so that many of them rarely fall together.
	private static final long PROBE_WINDOW_MS = 1_000;

	private static final int WINDOWS_PER_VM = 8;

	private RateLimitShare() {
	}

	/**
	 * Returns this VM's part.
	 * @param limit the limit
	 * @param workerId the worker's id
	 * @param vms the VMs
	 * @param now the present time in milliseconds
	 * @return requests a second; 0 if the VM leaves the worker alone but for its turn
	 */
	static double perSecond(WorkerRateLimit limit, String workerId, EntryVmDirectory vms, long now) {
		int serving = vms.servingCountAllRegions(now);
		int position = vms.servingIndex(now);
		int sharers = (int) Math.min(serving, Math.floor(limit.perSecond()) + EXTRA_SHARERS);
		if (position < 0 || Math.floorMod(position + workerId.hashCode(), serving) >= sharers) {
			return 0;
		}
		return Math.max(MIN_PER_S, limit.perSecond()) / sharers;
	}

	/**
	 * Returns in which turn of this VM the present time falls.
	 * @param vms the VMs
	 * @param phase a number from 0 to 1 that differs from VM to VM
	 * @param now the present time in milliseconds
	 * @return the number of the turn, or -1 if it is none
	 */
	static long probeWindow(EntryVmDirectory vms, double phase, long now) {
		long cycleWindows = (long) WINDOWS_PER_VM * Math.max(1, vms.count(now));
		long window = (long) (now + phase * cycleWindows * PROBE_WINDOW_MS) / PROBE_WINDOW_MS;
		return (window % cycleWindows == 0) ? window / cycleWindows : -1;
	}

}
