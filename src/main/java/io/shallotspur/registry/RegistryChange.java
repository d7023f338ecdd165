package io.shallotspur.registry;

import org.jspecify.annotations.Nullable;

import io.shallotspur.gateway.EngineStatistics;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.route.RouteTable;

/**
 * One change in the registry. All changes are immutable.
 */
public sealed interface RegistryChange {

	/**
	 * The operator published a configuration.
	 *
	 * @param table the configuration
	 */
	record ConfigUpdated(RouteTable table) implements RegistryChange {

	}

	/**
	 * A worker wrote its entry.
	 *
	 * @param worker the entry
	 */
	record WorkerUpdated(WorkerInfo worker) implements RegistryChange {

	}

	/**
	 * The entry of a worker is gone.
	 *
	 * @param id the worker
	 */
	record WorkerRemoved(String id) implements RegistryChange {

	}

	/**
	 * An entry VM registered, or changed what it says of itself.
	 *
	 * @param vm the VM
	 */
	record VmUpdated(EntryVm vm) implements RegistryChange {

	}

	/**
	 * The registration of an entry VM is gone.
	 *
	 * @param key the key of the registration
	 */
	record VmRemoved(String key) implements RegistryChange {

	}

	/**
	 * A VM holds the duty of giving orders to workers.
	 *
	 * @param vm the key of its registration
	 * @param electedAt the state of the store in which it got the duty
	 */
	record LeaderElected(String vm, StorePosition electedAt) implements RegistryChange {

	}

	/**
	 * An entry that cannot be read.
	 *
	 * @param key its key
	 * @param worker the worker whose entry it would be, or {@code null} if it is another
	 * one's
	 * @param cause what is wrong with it
	 */
	record EntryUnreadable(String key, @Nullable String worker, String cause) implements RegistryChange {

	}

	/**
	 * VMs told what they have seen of the engines of an upstream.
	 *
	 * @param upstream the upstream
	 * @param stats what all have seen
	 * @param position the state of the store in which it was told
	 */
	record EngineStatsUpdated(String upstream, EngineStatistics stats, StorePosition position) implements RegistryChange {

	}

	/**
	 * A VM saw that the operator and the workers have had the time to write again after
	 * the store came back from a copy.
	 *
	 * @param era the era of the store that began with its return
	 */
	record EraSettled(long era) implements RegistryChange {

	}

	/**
	 * Nobody holds the duty.
	 */
	record LeadershipVacant() implements RegistryChange {

	}

	/**
	 * A worker is about to change over, or has.
	 *
	 * @param worker the worker's id
	 * @param stage what it is going to do
	 */
	record StageChangeAnnounced(String worker, WorkerStage stage) implements RegistryChange {

	}

	/**
	 * Nothing is announced for a worker any more.
	 *
	 * @param worker the worker's id
	 */
	record StageChangeWithdrawn(String worker) implements RegistryChange {

	}

}
