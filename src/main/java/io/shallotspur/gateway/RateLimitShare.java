package io.shallotspur.gateway;

/**
 * Computes this VM's share of a worker's rate limit. Stateless.
 * <p>
 * An overloaded worker limits the rate of requests from all VMs together. A VM sees only
 * its own requests and cannot ask the other VMs for each of them, so the limit is divided
 * among the serving VMs, the set that callers are told to use and that all VMs compute
 * alike. Two VMs may briefly disagree about that set by one member; the tolerance of the
 * workers covers this.
 * <p>
 * A VM with a share below one request per second would still accumulate a token, and many
 * such VMs could send at the same time. The number of VMs with a share is therefore
 * bounded by the limit in requests per second plus {@link #EXTRA_SHARERS}. The other VMs
 * send to the worker only in their probe windows; without these they would not learn that
 * the limit has been lifted.
 */
final class RateLimitShare {

	// VMs with a share beyond the limit in requests per second. A limit below two per
	// second is still shared by at least two VMs, since one may fail.
	private static final int EXTRA_SHARERS = 2;

	// Lower bound of the total rate of all VMs at a worker, requests per second. A worker
	// that accepts nothing still gets some, which shows when it accepts requests again.
	private static final double MIN_PER_S = 0.25;

	// Length of a probe window, ms. A cycle has WINDOWS_PER_VM windows for each known VM,
	// and a VM probes in one window per cycle. The phase is random for each VM, so probes
	// of many VMs rarely coincide.
	private static final long PROBE_WINDOW_MS = 1_000;

	private static final int WINDOWS_PER_VM = 8;

	private RateLimitShare() {
	}

	/**
	 * Returns this VM's share of a limit.
	 * @param limit the limit
	 * @param workerId the worker's id
	 * @param vms the VMs
	 * @param now the present time in milliseconds
	 * @return requests per second; 0 if the VM may send to the worker only in its probe
	 * windows
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
	 * Returns the probe window of this VM that contains the present time.
	 * @param vms the VMs
	 * @param phase a number from 0 to 1 that differs from VM to VM
	 * @param now the present time in milliseconds
	 * @return the number of the window, or -1 outside of a probe window
	 */
	static long probeWindow(EntryVmDirectory vms, double phase, long now) {
		long cycleWindows = (long) WINDOWS_PER_VM * Math.max(1, vms.count(now));
		long window = (long) (now + phase * cycleWindows * PROBE_WINDOW_MS) / PROBE_WINDOW_MS;
		return (window % cycleWindows == 0) ? window / cycleWindows : -1;
	}

}
