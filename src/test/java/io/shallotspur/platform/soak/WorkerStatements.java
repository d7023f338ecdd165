package io.shallotspur.platform.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What workers have stated to each VM in their responses, and checks of the requests that
 * reach them afterwards. Thread-safe.
 */
final class WorkerStatements {

	// In ms. A request that a caller sends later than this after the VM has passed on a
	// statement of leaving must not reach the worker.
	private static final long DRAIN_MS = 2_000;

	// In ms. Requests that reach the worker sooner after its refusal are not counted.
	private static final long PAUSE_GRACE_MS = 500;

	private static final int ALLOWED_IN_PAUSE = 2;

	// In ms. Requests may still be in transit this long after a disturbance of the
	// connections to a worker.
	private static final long DISTURBANCE_GRACE_MS = 1_000;

	// When each VM has first passed on that a worker is leaving.
	private final Map<Link, Long> leavingPassedOnAt = new HashMap<>();

	private final Map<Link, List<Pause>> pauses = new HashMap<>();

	// The number of disturbances of each worker's connections that are active, by the
	// worker's name.
	private final Map<String, Integer> activeDisturbances = new HashMap<>();

	private final Map<String, Long> pausesCountFrom = new HashMap<>();

	synchronized void onLeavingPassedOn(String vm, String worker, long nowMs) {
		this.leavingPassedOnAt.putIfAbsent(new Link(vm, worker), nowMs);
	}

	synchronized void onPauseRequested(String vm, String worker, long pauseMs, long nowMs) {
		if (!isDisturbed(worker, nowMs)) {
			this.pauses.computeIfAbsent(new Link(vm, worker), (l) -> new ArrayList<>())
				.add(new Pause(nowMs + PAUSE_GRACE_MS, nowMs + pauseMs));
		}
	}

	// A restart or a pause of the VM excuses what it sends afterwards.
	synchronized void onVmDisturbed(String vm) {
		this.leavingPassedOnAt.keySet().removeIf((l) -> l.vm().equals(vm));
		this.pauses.keySet().removeIf((l) -> l.vm().equals(vm));
	}

	// The responses of a worker do not reach the VMs while its connections are disturbed,
	// also if it restarts meanwhile.
	synchronized void onWorkerDisturbed(String name, boolean begins, long nowMs) {
		this.pauses.keySet().removeIf((l) -> nameOf(l.worker()).equals(name));
		this.pausesCountFrom.put(name, nowMs + DISTURBANCE_GRACE_MS);
		this.activeDisturbances.merge(name, begins ? 1 : -1, Integer::sum);
	}

	private boolean isDisturbed(String worker, long nowMs) {
		String name = nameOf(worker);
		return this.activeDisturbances.getOrDefault(name, 0) > 0
				|| nowMs < this.pausesCountFrom.getOrDefault(name, Long.MIN_VALUE);
	}

	// The id of a worker is its name and the number of its incarnation.
	private static String nameOf(String worker) {
		return worker.substring(0, Math.max(0, worker.lastIndexOf('-')));
	}

	/**
	 * Called when a request reaches a worker.
	 * @param vm the address of the VM that the caller sent the request to
	 * @param worker the worker id
	 * @param sentAtMs when the caller sent the request, in milliseconds
	 * @param nowMs the current time in milliseconds
	 * @return the violation, if there is one
	 */
	synchronized Optional<String> onRequestReceived(String vm, String worker, long sentAtMs, long nowMs) {
		Link link = new Link(vm, worker);
		Long passedOnAt = this.leavingPassedOnAt.get(link);
		if (passedOnAt != null && sentAtMs > passedOnAt + DRAIN_MS) {
			return Optional
				.of("DRAIN vm=" + vm + " worker=" + worker + " sent-ms-after-statement=" + (sentAtMs - passedOnAt));
		}
		if (isDisturbed(worker, nowMs)) {
			return Optional.empty();
		}
		return this.pauses.getOrDefault(link, List.of())
			.stream()
			.filter((p) -> p.count(nowMs) == ALLOWED_IN_PAUSE + 1)
			.findFirst()
			.map((p) -> "BUDGET vm=" + vm + " worker=" + worker + " received=" + p.received + " in a pause");
	}

	private record Link(String vm, String worker) {

	}

	/**
	 * A pause that a worker has asked a VM for.
	 */
	private static final class Pause {

		private final long fromMs;

		private final long untilMs;

		private int received;

		private Pause(long fromMs, long untilMs) {
			this.fromMs = fromMs;
			this.untilMs = untilMs;
		}

		private int count(long nowMs) {
			if (nowMs < this.fromMs || nowMs >= this.untilMs) {
				return 0;
			}
			return ++this.received;
		}

	}

}
