package io.shallotspur.testing;

import java.util.List;
import java.util.TreeMap;

import reactor.core.publisher.Mono;

import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.VmEntry;
import io.shallotspur.port.VmList;

/**
 * A VM list in memory that lags as much as the test lets it. Thread-safe.
 */
public final class FakeVmList implements VmList {

	private final TreeMap<String, VmEntry> entries = new TreeMap<>();

	private boolean down;

	private int calls;

	/**
	 * Lists a VM, or changes its entry.
	 * @param entry the entry
	 */
	public synchronized void put(VmEntry entry) {
		this.entries.put(entry.id(), entry);
	}

	/**
	 * Marks a VM as leaving, or takes the mark away.
	 * @param id its name
	 * @param leaving the mark
	 */
	public synchronized void mark(String id, boolean leaving) {
		VmEntry e = this.entries.getOrDefault(id, new VmEntry(id, "", "", "", leaving));
		this.entries.put(id, new VmEntry(id, e.hall(), e.peerAddress(), e.callerAddress(), leaving));
	}

	/**
	 * Starts or ends an outage.
	 * @param down whether calls fail
	 */
	public synchronized void setDown(boolean down) {
		this.down = down;
	}

	/**
	 * Returns how often the list was read.
	 * @return the calls
	 */
	public synchronized int calls() {
		return this.calls;
	}

	@Override
	public Mono<List<VmEntry>> list() {
		return Mono.fromCallable(this::read);
	}

	private synchronized List<VmEntry> read() throws StoreUnavailableException {
		this.calls++;
		if (this.down) {
			throw new StoreUnavailableException("the VM list is down", null);
		}
		return List.copyOf(this.entries.values());
	}

}
