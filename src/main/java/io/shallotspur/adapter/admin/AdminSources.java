package io.shallotspur.adapter.admin;

import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import reactor.core.publisher.Mono;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.distribution.ContractChange;

/**
 * What the operators' HTTP shows and drives. Immutable; the functions are thread-safe.
 *
 * @param contracts gives the contracts in force
 * @param change carries out a change
 * @param ready tells whether this VM takes new work
 * @param metrics gives the metrics as Prometheus text
 */
public record AdminSources(Supplier<ContractSet> contracts, Function<ContractChange, Mono<Contract>> change,
		BooleanSupplier ready, Supplier<String> metrics) {

}
