package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * What this VM knows of its network path to one worker. Not thread-safe; confined to the
 * gateway's thread.
 */
final class WorkerPath {

	private static final long NONE = Long.MIN_VALUE;

	private long lastContactAt = NONE;

	private int attempts;

	private long silentSince = NONE;

	private boolean lost;

	private boolean unreachable;

	private @Nullable EntryVm tunnelVm;

	private int successfulChecks;

	private long nextCheckAt = NONE;

	private boolean checking;

	private final List<Consumer<ListenState>> checkListeners = new ArrayList<>();

	// The worker has responded on a direct connection.
	void recordContact(long now) {
		this.lastContactAt = now;
		this.unreachable = false;
		this.silentSince = (this.attempts > 0) ? now : NONE;
	}

	boolean hasContactSince(long time) {
		return this.lastContactAt >= time;
	}

	void attemptStarted(long now) {
		this.attempts++;
		this.silentSince = (this.silentSince == NONE) ? now : this.silentSince;
	}

	/**
	 * Records the end of a direct attempt.
	 * @return whether it was the last one
	 */
	boolean attemptEnded() {
		this.attempts--;
		this.silentSince = (this.attempts > 0) ? this.silentSince : NONE;
		return this.attempts == 0;
	}

	// For how long direct attempts have waited without any response of the worker, ms.
	long silenceMs(long now) {
		return (this.silentSince == NONE) ? 0 : now - this.silentSince;
	}

	boolean isLost() {
		return this.lost;
	}

	/**
	 * Records that the direct path is lost, and the VM that reaches the worker.
	 * @param vm the VM, or {@code null} if none is known any more
	 * @return whether it was not lost before
	 */
	boolean lose(@Nullable EntryVm vm) {
		boolean news = !this.lost;
		this.lost = true;
		this.unreachable &= vm == null;
		this.tunnelVm = vm;
		this.successfulChecks = news ? 0 : this.successfulChecks;
		return news;
	}

	/**
	 * Records that neither this VM nor another one that was asked could connect the
	 * worker.
	 * @return whether this is news
	 */
	boolean markUnreachable() {
		boolean news = !this.unreachable;
		this.unreachable = true;
		return news;
	}

	boolean isUnreachable() {
		return this.unreachable;
	}

	void regain(long now) {
		this.lost = false;
		this.tunnelVm = null;
		recordContact(now);
	}

	@Nullable EntryVm tunnelVm() {
		return this.tunnelVm;
	}

	int recordCheck(boolean successful) {
		this.successfulChecks = successful ? this.successfulChecks + 1 : 0;
		return this.successfulChecks;
	}

	boolean mayCheck(long now) {
		return !this.checking && now >= this.nextCheckAt;
	}

	void postponeCheck(long until) {
		this.nextCheckAt = until;
	}

	boolean isChecking() {
		return this.checking;
	}

	void checkStarted() {
		this.checking = true;
	}

	void addCheckListener(Consumer<ListenState> listener) {
		this.checkListeners.add(listener);
	}

	void checkEnded(ListenState seen) {
		this.checking = false;
		List<Consumer<ListenState>> listeners = List.copyOf(this.checkListeners);
		this.checkListeners.clear();
		listeners.forEach((l) -> l.accept(seen));
	}

}
