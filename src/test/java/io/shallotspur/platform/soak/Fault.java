package io.shallotspur.platform.soak;

import java.util.List;

/**
 * One fault. Immutable.
 *
 * @param kind what happens
 * @param atMs when it begins, in milliseconds from the start of the traffic
 * @param forMs how long it lasts, in milliseconds
 * @param target which VM or worker it strikes, by number
 */
record Fault(Kind kind, long atMs, long forMs, int target) {

	/**
	 * What can happen.
	 */
	enum Kind {

		/** A VM is killed and started again. */
		VM_KILL,

		/** A VM is told to leave and started again when it has ended. */
		VM_TERM,

		/** A VM stands still. */
		VM_PAUSE,

		/** All VMs are killed at once and started again. */
		ALL_KILL,

		/** A worker dies; another incarnation comes at the same address. */
		WORKER_CRASH,

		/** A worker is emptied and replaced. */
		WORKER_DRAIN,

		/** Connections to a worker are reset. */
		WORKER_RESET,

		/** Nothing comes back from a worker. */
		WORKER_ONE_WAY,

		/** Nothing passes to a worker or back. */
		WORKER_SILENT,

		/** All that passes to a worker is late. */
		WORKER_DELAY,

		/** Connections of one VM to the store are reset. */
		STORE_RESET,

		/** Nothing passes between one VM and the store. */
		STORE_SILENT,

		/** The store turns all calls away. */
		STORE_AWAY,

		/** The store forgets its history. */
		STORE_FORGETS,

		/** A new configuration is published. */
		CONFIGURATION,

		/** The store comes back from a copy; what was lost is written again. */
		STORE_RESTORED,

		/** A worker names a limit of requests a second in its answers. */
		WORKER_LIMITED;

		// The others of the plan stay as they are for a seed, whatever is added here.
		static final List<Kind> DRAWN = List.of(values()).subList(0, STORE_RESTORED.ordinal());

		// Rules with a time bound hold only for VMs that are left alone, before a store
		// that is.
		boolean disturbsVms() {
			return !name().startsWith("WORKER") && this != CONFIGURATION;
		}

	}

}
