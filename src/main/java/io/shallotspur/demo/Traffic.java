package io.shallotspur.demo;

import java.io.PrintStream;

/**
 * The callers of the demonstration, sent at entry VMs and stand-ins that run as other
 * processes. Its result is 0 only if nothing was lost, doubled, mixed up or left held.
 * Stateless.
 */
public final class Traffic {

	private Traffic() {
	}

	/**
	 * Sends the traffic.
	 * @param options what was asked for
	 * @param out takes the table or the JSON
	 * @param err takes the progress
	 * @return 0 if all promises were kept, {@link Demo#BROKEN} otherwise
	 */
	public static int run(TrafficOptions options, PrintStream out, PrintStream err) {
		DemoTraffic t = new DemoTraffic(
				new RemoteTarget(options.getCallers(), options.getEngines(), options.getPlain()));
		try {
			t.awaitWorkers();
			err.println("traffic begins");
			t.run(options.getSeconds(), options.getSeed(), err);
			DemoReport r = t.report(options.getSeconds(), () -> 0);
			r.print(out, options.isJson());
			return r.broken() ? Demo.BROKEN : 0;
		}
		finally {
			t.close();
		}
	}

}
