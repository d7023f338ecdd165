package io.shallotspur.gateway;

import java.util.function.LongConsumer;

import org.jspecify.annotations.Nullable;

/**
 * The network path of one attempt, and when something last came on it. Not thread-safe;
 * confined to the gateway's thread.
 */
final class AttemptPath {

	private final WorkerPaths paths;

	private final Runnable onSilence;

	private final LongConsumer lossListener = this::pathLost;

	private @Nullable WorkerState worker;

	private boolean direct;

	private long lastReceivedAt;

	/**
	 * Creates a path without an attempt.
	 * @param paths the paths of this VM
	 * @param onSilence run when the direct path was lost and nothing has come since
	 */
	AttemptPath(WorkerPaths paths, Runnable onSilence) {
		this.paths = paths;
		this.onSilence = onSilence;
	}

	/**
	 * Starts an attempt, which takes the path that the worker's calls take now.
	 * @param w the worker
	 * @param now the present time in milliseconds
	 * @return whether it goes through another VM
	 */
	boolean start(WorkerState w, long now) {
		this.worker = w;
		this.lastReceivedAt = now;
		this.direct = this.paths.isDirect(w);
		if (this.direct) {
			this.paths.attemptStarted(w, now);
			w.addPathLossListener(this.lossListener);
		}
		return !this.direct;
	}

	void received(long now) {
		this.lastReceivedAt = now;
		if (this.worker != null) {
			this.paths.recordResponse(this.worker, this.direct, now);
		}
	}

	void end() {
		WorkerState w = this.worker;
		this.worker = null;
		if (w != null && this.direct) {
			this.paths.attemptEnded(w);
			w.removePathLossListener(this.lossListener);
		}
	}

	private void pathLost(long silentSince) {
		if (this.lastReceivedAt <= silentSince) {
			this.onSilence.run();
		}
	}

}
