package io.shallotspur.cli;

import java.io.PrintStream;

import io.shallotspur.demo.LedgerMeasure;
import io.shallotspur.demo.LedgerMeasureOptions;

/**
 * Measures the ledger and writes the page of results.
 */
final class MeasureLedgerEntry extends LedgerMeasureOptions implements Command {

	@Override
	public int run(PrintStream out, PrintStream err) {
		return new LedgerMeasure().run(this, out, err);
	}

}
