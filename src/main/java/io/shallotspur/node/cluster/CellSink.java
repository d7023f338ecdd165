package io.shallotspur.node.cluster;

import io.shallotspur.node.CellAssignment;
import io.shallotspur.node.CellHost;

/**
 * Is told which cells this VM owns. Implementations are thread-safe.
 */
public interface CellSink {

	/**
	 * Takes a cell over, or changes its workers. Workers that are left out are leaving.
	 * @param a the cell with the workers that take new work
	 */
	void assign(CellAssignment a);

	/**
	 * Gives a cell away. Requests in progress finish here.
	 * @param cell the name of the cell
	 */
	void revoke(String cell);

	/**
	 * Makes the workers of another VM's cell known.
	 * @param a the cell
	 */
	void know(CellAssignment a);

	/**
	 * Adapts the cells of an entry VM.
	 * @param cells the cells
	 * @return the adapter
	 */
	static CellSink of(CellHost cells) {
		return new CellSink() {

			@Override
			public void assign(CellAssignment a) {
				cells.assign(a);
			}

			@Override
			public void revoke(String cell) {
				cells.revoke(cell);
			}

			@Override
			public void know(CellAssignment a) {
				cells.know(a);
			}

		};
	}

}
