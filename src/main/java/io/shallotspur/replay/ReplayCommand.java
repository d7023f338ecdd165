package io.shallotspur.replay;

import java.io.PrintStream;
import java.util.List;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.io.ContractFile;
import io.shallotspur.exc.InputException;
import io.shallotspur.exc.ShallotspurException;

/**
 * The command {@code replay}. Stateless and thread-safe.
 */
public final class ReplayCommand {

	/**
	 * The report was printed.
	 */
	public static final int EXIT_OK = 0;

	/**
	 * A file or an option cannot be used.
	 */
	public static final int EXIT_INPUT = 3;

	private static final double MAX_LOAD = 100;

	/**
	 * Runs the command.
	 * @param options the command line
	 * @param out receives the report
	 * @param err receives errors
	 * @return the exit code
	 */
	public int run(ReplayOptions options, PrintStream out, PrintStream err) {
		try {
			ReplayReport report = replay(options);
			if (options.isJson()) {
				ReportWriter.writeJson(report, out);
			}
			else {
				ReportWriter.writeTable(report, out);
			}
			if (report.leaveViolations() > 0) {
				err.println("[replay] Leaving workers got new work " + report.leaveViolations() + " times.");
			}
			return EXIT_OK;
		}
		catch (ShallotspurException ex) {
			err.println("[replay] " + ex.getCode() + ": " + ex.getLocation() + ": " + ex.getMessage());
			return EXIT_INPUT;
		}
	}

	private static ReplayReport replay(ReplayOptions options) throws ShallotspurException {
		Policy policy = Policy.find(options.getPolicy())
			.orElseThrow(() -> new InputException(
					"\"" + options.getPolicy() + "\" is no policy; allowed: one of " + Policy.codes(), "--policy"));
		if (!(options.getLoad() > 0 && options.getLoad() <= MAX_LOAD)) {
			throw new InputException("is " + options.getLoad() + "; allowed: over 0 and at most " + MAX_LOAD, "--load");
		}
		Schedulers schedulers = schedulers(policy, options.getOff());
		Fleet fleet = FleetFile.read(options.getFleet());
		List<Contract> contracts = ContractFile.read(options.getContracts());
		List<TraceLine> trace = TraceFile.read(options.getTrace(), fleet);
		List<TraceLine> scaled = LoadScaler.scale(trace, options.getLoad(), options.getSeed());
		return new Replay(fleet, contracts, scaled, policy, schedulers, options.getSeed()).run();
	}

	private static Schedulers schedulers(Policy policy, List<String> off) throws InputException {
		return (policy != Policy.SHALLOTSPUR) ? Schedulers.baseline(policy) : ProductSchedulers.without(off);
	}

}
