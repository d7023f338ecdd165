package io.shallotspur.cfg;

import java.util.List;

import org.jspecify.annotations.Nullable;

import io.shallotspur.port.VmEntry;

/**
 * Which stand-ins one process runs. Immutable and checked.
 *
 * @param store where the key-value service listens, or {@code null} for none
 * @param vmList where the VM list listens, or {@code null} for none
 * @param vms what the VM list holds at the start
 * @param weightStore where the weight store listens, or {@code null} for none
 * @param upstreams the workers to imitate, each at its address
 * @param speeds how fast each of them works
 */
public record StandinSettings(@Nullable Endpoint store, @Nullable Endpoint vmList, List<VmEntry> vms,
		@Nullable Endpoint weightStore, List<UpstreamSection> upstreams, List<WorkerSpeeds> speeds) {

	public StandinSettings {
		vms = List.copyOf(vms);
		upstreams = List.copyOf(upstreams);
		speeds = List.copyOf(speeds);
	}

}
