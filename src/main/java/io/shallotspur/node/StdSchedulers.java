package io.shallotspur.node;

import io.shallotspur.cell.CellScheduler;
import io.shallotspur.cell.CellSettings;
import io.shallotspur.cell.StdCellScheduler;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.plain.PlainScheduler;
import io.shallotspur.plain.PlainSettings;
import io.shallotspur.plain.StdPlainScheduler;

/**
 * Makes the schedulers that serve live traffic, with their documented defaults. Immutable
 * and thread-safe. The seed is the hash of the cell's name, so that the cells of a node
 * do not draw the same lots.
 */
public final class StdSchedulers implements SchedulerFactory {

	@Override
	public CellScheduler cell(String cell, ContractSet contracts) {
		return new StdCellScheduler(CellSettings.defaults(), contracts, cell.hashCode());
	}

	@Override
	public PlainScheduler plain(String upstream, ContractSet contracts) {
		return new StdPlainScheduler(PlainSettings.defaults(), contracts, upstream.hashCode());
	}

}
