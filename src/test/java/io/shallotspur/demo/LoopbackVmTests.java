package io.shallotspur.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;

import io.shallotspur.contract.Contract;
import io.shallotspur.distribution.ContractChange;
import io.shallotspur.standin.store.StoreFaults;
import io.shallotspur.standin.store.StoreStandin;
import io.shallotspur.standin.store.VmListStandin;
import io.shallotspur.testing.Contracts;

import static org.assertj.core.api.Assertions.assertThat;

class LoopbackVmTests {

	private final StoreStandin store = new StoreStandin(() -> 0);

	private final VmListStandin list = new VmListStandin();

	private final List<LoopbackVm> vms = new ArrayList<>();

	@AfterEach
	void stop() {
		this.vms.forEach(LoopbackVm::kill);
		this.store.stop();
		this.list.stop();
	}

	/**
	 * Three VMs over real connections. The store loses the answer to a change and then
	 * goes away, one VM dies, another starts. The operator was told "accepted", so every
	 * VM, the new one too, must have the contract.
	 */
	@Test
	void anAcceptedContractOutlivesStoreAndVmOverRealConnections() throws Exception {
		String storeUrl = "http://127.0.0.1:" + this.store.start("127.0.0.1", 0).getPort();
		String listUrl = "http://127.0.0.1:" + this.list.start("127.0.0.1", 0).getPort();
		for (int i = 0; i < 3; i++) {
			this.vms.add(new LoopbackVm("vm-" + i, storeUrl, listUrl, i));
		}
		this.list.set(this.vms.stream().map(LoopbackVm::entry).toList());
		this.vms.forEach(LoopbackVm::start);
		await(() -> this.vms.stream().allMatch((v) -> v.service().isReady() && v.service().view().live().size() == 3));
		this.store.setFaults(new StoreFaults(false, 0, 0, 1, false));
		ContractChange change = Contracts.change("c1", "lonestar", 0.5, ContractChange.ABSENT);
		Contract accepted = Objects.requireNonNull(this.vms.get(0).service().contracts().change(change).block());
		assertThat(accepted.revision()).isEqualTo(1);
		this.store.setFaults(new StoreFaults(true, 0, 0, 0, false));
		await(() -> this.vms.stream().allMatch(LoopbackVmTests::hasContract));
		this.vms.remove(0).kill();
		LoopbackVm late = new LoopbackVm("vm-3", storeUrl, listUrl, 3);
		this.vms.add(late);
		this.list.set(this.vms.stream().map(LoopbackVm::entry).toList());
		late.start();
		await(() -> late.service().isReady() && hasContract(late));
		await(() -> this.vms.stream().allMatch((v) -> v.service().view().live().size() == 3));
	}

	private static boolean hasContract(LoopbackVm v) {
		return v.service().contracts().contracts().find("lonestar").isPresent();
	}

	private static void await(BooleanSupplier condition) {
		Flux.interval(Duration.ofMillis(10)).filter((i) -> condition.getAsBoolean()).blockFirst(Duration.ofSeconds(60));
	}

}
