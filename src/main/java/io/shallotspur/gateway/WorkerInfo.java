package io.shallotspur.gateway;

/**
 * A worker as described by the registry. Immutable.
 *
 * @param id its name; a worker that restarts may keep it
 * @param upstream the upstream it belongs to
 * @param host its IP address
 * @param port its port
 * @param hall the hall in which it runs
 * @param slots the number of requests it runs concurrently
 * @param stage its stage
 * @param draining whether it accepts no new requests
 * @param warmUpMs remaining time of slow operation after its start, in milliseconds
 * @param startedAt when it started, in Unix milliseconds; 0 if it does not report it
 * @param version the version of its software
 */
public record WorkerInfo(String id, String upstream, String host, int port, String hall, int slots, WorkerStage stage,
		boolean draining, long warmUpMs, long startedAt, String version) {

	/**
	 * Returns a copy with another stage.
	 * @param other the stage
	 * @return an entry that differs in the stage only
	 */
	public WorkerInfo withStage(WorkerStage other) {
		return new WorkerInfo(this.id, this.upstream, this.host, this.port, this.hall, this.slots, other, this.draining,
				this.warmUpMs, this.startedAt, this.version);
	}

	/**
	 * Returns a copy that accepts no new requests.
	 * @return an entry that differs in that only
	 */
	public WorkerInfo asDraining() {
		return new WorkerInfo(this.id, this.upstream, this.host, this.port, this.hall, this.slots, this.stage, true,
				this.warmUpMs, this.startedAt, this.version);
	}

	/**
	 * Tells whether this entry describes a later start of the worker than another entry.
	 * @param other an entry of a worker with the same id
	 * @return {@code false} also if either does not report when it started
	 */
	public boolean isRestartOf(WorkerInfo other) {
		return other.startedAt > 0 && this.startedAt > other.startedAt;
	}

	/**
	 * Tells whether this entry and another one may describe the same start of the worker.
	 * A process changes neither its address nor its version.
	 * @param other an entry of a worker with the same id
	 * @return {@code false} if the address, the version or the start differs
	 */
	public boolean mayBeSameInstance(WorkerInfo other) {
		return address().equals(other.address()) && this.version.equals(other.version) && !isRestartOf(other)
				&& !other.isRestartOf(this);
	}

	/**
	 * Returns a name that no other start of this or another worker has.
	 * @return the id, and when it started if it reports that
	 */
	public String instanceName() {
		return (this.startedAt > 0) ? this.id + "@" + this.startedAt : this.id;
	}

	/**
	 * Returns the address in the form that workers use for each other.
	 * @return {@code host:port}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
