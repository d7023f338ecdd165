package io.shallotspur.node;

import io.shallotspur.cell.CellScheduler;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.plain.PlainScheduler;

/**
 * Makes the state machines that decide. Implementations are thread-safe.
 */
public interface SchedulerFactory {

	/**
	 * Makes the scheduler of a cell.
	 * @param cell the name of the cell
	 * @param contracts the contracts in force
	 * @return a scheduler without workers
	 */
	CellScheduler cell(String cell, ContractSet contracts);

	/**
	 * Makes the scheduler of a plain upstream.
	 * @param upstream the name of the upstream
	 * @param contracts the contracts in force
	 * @return a scheduler without workers
	 */
	PlainScheduler plain(String upstream, ContractSet contracts);

}
