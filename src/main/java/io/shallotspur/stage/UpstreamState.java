package io.shallotspur.stage;

import org.jspecify.annotations.Nullable;

import io.shallotspur.gateway.WorkerStage;

/**
 * Recent stage changes of one upstream. Not thread-safe.
 */
final class UpstreamState {

	// In ms. Minimum time between a change and one in the opposite direction: the time
	// that a stage change and a few responses take. Without it, workers could oscillate
	// between the stages.
	static final long REVERSAL_DELAY_MS = 10_000;

	// In ms. Delay after a failed change: another worker may succeed, and a worker that
	// refuses must not receive orders continuously.
	private static final long RETRY_DELAY_MS = 3_000;

	// In ms. How long the number of workers must be unchanged before a rebalance. Crashed
	// workers return within seconds; an immediate rebalance would leave the other stage
	// short of workers once they are back.
	private static final long STABLE_COUNT_MS = 5_000;

	// In ms. How long no worker that should change may be without a direct path before
	// this VM resigns: about as long as a handover takes, so that short cuts cost none.
	private static final long RESIGN_DELAY_MS = 5_000;

	private static final long NEVER = Long.MAX_VALUE;

	private int workerCount = -1;

	private long workerCountChangedAt = Long.MIN_VALUE / 2;

	private @Nullable WorkerStage lastTarget;

	private long lastChangeAt;

	private boolean lastChangeFailed;

	private long blockedSince = NEVER;

	void updateWorkerCount(int n, long now) {
		if (n != this.workerCount && this.workerCount >= 0) {
			this.workerCountChangedAt = now;
		}
		this.workerCount = n;
	}

	boolean isWorkerCountStable(long now) {
		return now - this.workerCountChangedAt >= STABLE_COUNT_MS;
	}

	void updateBlocked(boolean blocked, long now) {
		this.blockedSince = blocked ? Math.min(this.blockedSince, now) : NEVER;
	}

	boolean isBlocked(long now) {
		return this.blockedSince != NEVER && now - this.blockedSince >= RESIGN_DELAY_MS;
	}

	boolean mayMoveTo(WorkerStage stage, long now) {
		if (this.lastTarget == null || this.lastTarget == stage) {
			return !this.lastChangeFailed || now - this.lastChangeAt >= RETRY_DELAY_MS;
		}
		return now - this.lastChangeAt >= REVERSAL_DELAY_MS;
	}

	void onChangesStarted(WorkerStage stage, long now) {
		this.lastTarget = stage;
		this.lastChangeAt = now;
		this.lastChangeFailed = false;
	}

	void onChangeEnded(boolean succeeded, long now) {
		this.lastChangeAt = now;
		this.lastChangeFailed = !succeeded;
	}

}
