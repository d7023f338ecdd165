package io.shallotspur.node;

import io.shallotspur.cell.CellScheduler;
import io.shallotspur.cell.CellSettings;
import io.shallotspur.cell.StdCellScheduler;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.plain.PlainScheduler;
import io.shallotspur.plain.PlainSettings;
import io.shallotspur.plain.StdPlainScheduler;
import io.shallotspur.quarantine.CrashSuspects;

/**
 * Makes the schedulers that serve live traffic, with their documented defaults. Immutable
 * and thread-safe. The seed is the hash of the cell's name, so that the cells of a node
 * do not draw the same lots.
 */
public final class StdSchedulers implements SchedulerFactory {

	private final CrashSuspects suspects;

	/**
	 * Creates a factory whose cells share no suspects with other nodes.
	 */
	public StdSchedulers() {
		this(new CrashSuspects());
	}

	/**
	 * Creates a factory.
	 * @param suspects what is known of requests that crash workers, here and elsewhere
	 */
	public StdSchedulers(CrashSuspects suspects) {
		this.suspects = suspects;
	}

	@Override
	public CellScheduler cell(String cell, ContractSet contracts) {
		return new StdCellScheduler(CellSettings.defaults(), contracts, cell.hashCode(), this.suspects);
	}

	@Override
	public PlainScheduler plain(String upstream, ContractSet contracts) {
		return new StdPlainScheduler(PlainSettings.defaults(), contracts, upstream.hashCode());
	}

}
