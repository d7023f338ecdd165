package io.shallotspur.platform.soak;

import java.io.IOException;

/**
 * The soak of orders, as a {@link SoakCommand}.
 */
public final class OrderSoak {

	private OrderSoak() {
	}

	/**
	 * Runs the soak.
	 * @param args the first seed, the number of seeds, the seconds in which faults begin,
	 * the number of VMs
	 */
	public static void main(String[] args) throws IOException, InterruptedException {
		FreePorts ports = new FreePorts();
		SoakCommand.main("orders", args, new int[] { 30, 4 },
				(seed, lengthMs, values, dir) -> new OrderRun(seed, values[1], lengthMs, dir, ports));
	}

}
