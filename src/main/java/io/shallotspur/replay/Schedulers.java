package io.shallotspur.replay;

import io.shallotspur.cell.CellScheduler;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.plain.PlainScheduler;

/**
 * Makes the schedulers of one policy. Implementations are immutable and thread-safe.
 */
interface Schedulers {

	/**
	 * Makes the scheduler of a model upstream.
	 * @param contracts the contracts in force
	 * @param seed the seed of its randomness
	 * @return a scheduler without workers
	 */
	CellScheduler cell(ContractSet contracts, long seed);

	/**
	 * Makes the scheduler of a plain upstream.
	 * @param contracts the contracts in force
	 * @param seed the seed of its randomness
	 * @return a scheduler without workers
	 */
	PlainScheduler plain(ContractSet contracts, long seed);

	/**
	 * Returns the schedulers of a baseline.
	 * @param policy the baseline
	 * @return what makes its schedulers
	 */
	static Schedulers baseline(Policy policy) {
		return new Schedulers() {

			@Override
			public CellScheduler cell(ContractSet contracts, long seed) {
				return new BaselineCellScheduler(policy, seed);
			}

			@Override
			public PlainScheduler plain(ContractSet contracts, long seed) {
				return new BaselinePlainScheduler(policy, seed);
			}

		};
	}

}
