package io.shallotspur.platform.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The ways to one worker, one for each VM, so that a VM can lose its way while others
 * keep theirs. Thread-safe.
 * <p>
 * Invariant: a VM that is cut off sees nothing of what happens to the worker meanwhile.
 */
final class WorkerProxies {

	private final List<Way> ways = new ArrayList<>();

	private LoopbackProxy.Mode mode = LoopbackProxy.Mode.PASS;

	private Address address = Address.LISTENS;

	WorkerProxies(int vms, int targetPort) throws IOException {
		for (int i = 0; i < vms; i++) {
			this.ways.add(new Way(new LoopbackProxy(targetPort)));
		}
	}

	/**
	 * Returns the port at which a VM reaches the worker.
	 * @param vm the index of the VM
	 * @return the port
	 */
	int port(int vm) {
		return this.ways.get(vm).proxy.port();
	}

	/**
	 * Returns the VM from which a connection comes.
	 * @param port the port from which it reaches the worker
	 * @return the index of the VM; -1 if the connection has ended
	 */
	int vmOf(int port) {
		for (int i = 0; i < this.ways.size(); i++) {
			if (this.ways.get(i).proxy.forwardsFrom(port)) {
				return i;
			}
		}
		return -1;
	}

	synchronized void targetPort(int port) {
		this.ways.forEach((w) -> w.proxy.targetPort(port));
	}

	synchronized void mode(LoopbackProxy.Mode next) {
		this.mode = next;
		this.ways.stream().filter((w) -> w.cut == null).forEach((w) -> w.proxy.mode(next));
	}

	synchronized void reset() {
		this.ways.stream().filter((w) -> w.cut == null).forEach((w) -> w.proxy.reset());
	}

	synchronized void refuseConnections() {
		this.address = Address.REFUSES;
		this.ways.stream().filter((w) -> w.cut == null).forEach((w) -> w.proxy.refuseConnections());
	}

	synchronized void fallSilent() {
		this.address = Address.SILENT;
		this.ways.stream().filter((w) -> w.cut == null).forEach((w) -> w.proxy.fallSilent());
	}

	synchronized void acceptAgain() throws IOException {
		this.address = Address.LISTENS;
		for (Way w : this.ways) {
			if (w.cut == null) {
				w.proxy.acceptAgain();
			}
		}
	}

	/**
	 * Cuts a VM off from the worker.
	 * @param vm the index of the VM
	 * @param how how connections fail from now on
	 */
	synchronized void cut(int vm, Cut how) {
		Way w = this.ways.get(vm);
		w.cut = how;
		switch (how) {
			case HANGS -> w.proxy.cut();
			case REFUSED -> w.proxy.refuseConnections();
			case NO_ANSWERS -> w.proxy.mode(LoopbackProxy.Mode.ONE_WAY);
		}
	}

	/**
	 * Ends the cut of a VM.
	 * @param vm the index of the VM
	 */
	synchronized void heal(int vm) throws IOException {
		Way w = this.ways.get(vm);
		w.cut = null;
		w.proxy.mode(this.mode);
		switch (this.address) {
			case LISTENS -> w.proxy.acceptAgain();
			case REFUSES -> w.proxy.refuseConnections();
			case SILENT -> w.proxy.fallSilent();
		}
	}

	void stop() {
		this.ways.forEach((w) -> w.proxy.stop());
	}

	/**
	 * How connections fail during a cut.
	 */
	enum Cut {

		HANGS, REFUSED,

		/** What the VM sends arrives, and nothing comes back. */
		NO_ANSWERS

	}

	/**
	 * How the worker's address responds.
	 */
	private enum Address {

		LISTENS, REFUSES, SILENT

	}

	private static final class Way {

		private final LoopbackProxy proxy;

		private @Nullable Cut cut;

		private Way(LoopbackProxy proxy) {
			this.proxy = proxy;
		}

	}

}
