package io.shallotspur.platform.soak;

import java.io.IOException;

/**
 * The soak of stops, as a {@link SoakCommand}.
 */
public final class StopSoak {

	private static final int DEFAULT_STREAMS = 100;

	private StopSoak() {
	}

	/**
	 * Runs the soak.
	 * @param args the first seed, the number of seeds, the seconds in which faults begin,
	 * the number of VMs and how many streams a worker takes at a time
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		FreePorts ports = new FreePorts();
		SoakCommand.main("stops", args, new int[] { 20, 4, DEFAULT_STREAMS },
				(seed, lengthMs, values, dir) -> new StopRun(seed, values[1], lengthMs, values[2], dir, ports));
	}

}
