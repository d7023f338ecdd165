package io.shallotspur.registry;

import java.util.List;
import java.util.Set;

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
	 * The entry of a worker was removed.
	 *
	 * @param id the worker
	 */
	record WorkerRemoved(String id) implements RegistryChange {

	}

	/**
	 * An entry VM registered or updated its registration.
	 *
	 * @param vm the VM
	 */
	record VmUpdated(EntryVm vm) implements RegistryChange {

	}

	/**
	 * The registration of an entry VM was removed.
	 *
	 * @param key the key of the registration
	 */
	record VmRemoved(String key) implements RegistryChange {

	}

	/**
	 * A VM became the leader, which sends orders to workers.
	 *
	 * @param vm the key of its registration
	 * @param electedAt the position of the store at which it became the leader
	 */
	record LeaderElected(String vm, StorePosition electedAt) implements RegistryChange {

	}

	/**
	 * An entry could not be read.
	 *
	 * @param key its key
	 * @param worker the worker it belongs to, or {@code null} if it is no worker's entry
	 * @param cause what is wrong with it
	 */
	record EntryUnreadable(String key, @Nullable String worker, String cause) implements RegistryChange {

	}

	/**
	 * A VM published statistics about the engines of an upstream.
	 *
	 * @param upstream the upstream
	 * @param stats the merged statistics of all VMs
	 * @param position the position of the store at which they were written
	 */
	record EngineStatsUpdated(String upstream, EngineStatistics stats,
			StorePosition position) implements RegistryChange {

	}

	/**
	 * A VM announced a version of an upstream's workers.
	 *
	 * @param upstream the upstream
	 * @param versions all announced versions
	 * @param position the position of the store at which they were written
	 */
	record VersionsAnnounced(String upstream, Set<String> versions, StorePosition position) implements RegistryChange {

		/**
		 * Creates a change; the set is copied.
		 */
		public VersionsAnnounced {
			versions = Set.copyOf(versions);
		}

	}

	/**
	 * A VM recorded that the operator and the workers have had time to write again after
	 * the store was restored from a snapshot.
	 *
	 * @param era the era that began with the restore
	 */
	record EraSettled(long era) implements RegistryChange {

	}

	/**
	 * A VM published requests that were running on workers that crashed.
	 *
	 * @param reports the requests
	 */
	record SuspectsPublished(List<SuspectReport> reports) implements RegistryChange {

		/**
		 * Creates a change; the list is copied.
		 */
		public SuspectsPublished {
			reports = List.copyOf(reports);
		}

	}

	/**
	 * There is no leader.
	 */
	record LeadershipVacant() implements RegistryChange {

	}

	/**
	 * A worker is about to change its stage, or has changed it.
	 *
	 * @param worker the worker's id
	 * @param stage its next stage
	 */
	record StageChangeAnnounced(String worker, WorkerStage stage) implements RegistryChange {

	}

	/**
	 * The announcement of a worker's stage change was removed.
	 *
	 * @param worker the worker's id
	 */
	record StageChangeWithdrawn(String worker) implements RegistryChange {

	}

}
