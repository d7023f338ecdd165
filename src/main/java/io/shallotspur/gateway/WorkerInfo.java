package io.shallotspur.gateway;

/**
 * A worker as the registry describes it. Immutable.
 *
 * @param id unique for each start of a worker
 * @param upstream the upstream it belongs to
 * @param host its IP address
 * @param port its port
 * @param hall where it runs
 * @param slots requests it works on at once
 * @param stage what it does
 * @param leaving whether it wants no new requests
 * @param coldMs how much longer it is slow after its start, in milliseconds
 */
public record WorkerInfo(String id, String upstream, String host, int port, String hall, int slots, WorkerStage stage,
		boolean leaving, long coldMs) {

	/**
	 * Returns this worker as one that does something else.
	 * @param other what it does
	 * @return an entry that differs in that only
	 */
	public WorkerInfo withStage(WorkerStage other) {
		return new WorkerInfo(this.id, this.upstream, this.host, this.port, this.hall, this.slots, other, this.leaving,
				this.coldMs);
	}

	/**
	 * Returns the address in the form in which workers name one another.
	 * @return {@code host:port}
	 */
	public String address() {
		return this.host + ":" + this.port;
	}

}
