package io.shallotspur.platform.soak;

import java.io.IOException;

/**
 * The soak of all kinds of faults, as a {@link SoakCommand}.
 */
public final class Soak {

	private Soak() {
	}

	/**
	 * Runs the soak.
	 * @param args the first seed, the number of seeds, the seconds in which faults begin,
	 * the number of VMs
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		SoakCommand.main("faults", args, new int[] { 12, 4 },
				(seed, lengthMs, values, dir) -> new SoakRun(seed, values[1], lengthMs, dir));
	}

}
