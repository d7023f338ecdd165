package io.shallotspur.gateway;

/**
 * A worker as the registry describes it. Immutable.
 *
 * @param id its name; a worker that starts again may keep it
 * @param upstream the upstream it belongs to
 * @param host its IP address
 * @param port its port
 * @param hall where it runs
 * @param slots requests it works on at once
 * @param stage what it does
 * @param draining whether it wants no new requests
 * @param warmUpMs how much longer it is slow after its start, in milliseconds
 * @param startedAt when it started, in Unix milliseconds; 0 if it does not say
 */
public record WorkerInfo(String id, String upstream, String host, int port, String hall, int slots, WorkerStage stage,
		boolean draining, long warmUpMs, long startedAt) {

	/**
	 * Returns this worker as one that does something else.
	 * @param other what it does
	 * @return an entry that differs in that only
	 */
	public WorkerInfo withStage(WorkerStage other) {
		return new WorkerInfo(this.id, this.upstream, this.host, this.port, this.hall, this.slots, other, this.draining,
				this.warmUpMs, this.startedAt);
	}

	/**
	 * Returns this worker as one that wants no new requests.
	 * @return an entry that differs in that only
	 */
	public WorkerInfo asDraining() {
		return new WorkerInfo(this.id, this.upstream, this.host, this.port, this.hall, this.slots, this.stage, true,
				this.warmUpMs, this.startedAt);
	}

	/**
	 * Tells whether another description is of an earlier start of this worker.
	 * @param other a description of a worker with the same id
	 * @return {@code false} also if either does not say when it started
	 */
	public boolean isRestartOf(WorkerInfo other) {
		return other.startedAt > 0 && this.startedAt > other.startedAt;
	}

	/**
	 * Returns the address in the form in which workers name one another.
	 * @return {@code host:port}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
