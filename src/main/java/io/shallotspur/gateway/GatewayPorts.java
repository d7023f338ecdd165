package io.shallotspur.gateway;

import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * What a gateway uses of the outside. Immutable.
 *
 * @param workers calls to workers
 * @param timer runs things later on the gateway's thread
 * @param clock the present time in milliseconds; never goes back
 * @param wallClock the time of day in Unix milliseconds; may be set at any time
 * @param random numbers from 0 (inclusive) to 1 (exclusive)
 * @param log the log of decisions
 * @param metrics counters and histograms
 */
public record GatewayPorts(WorkerPort workers, GatewayTimer timer, LongSupplier clock, LongSupplier wallClock,
		DoubleSupplier random, DecisionLog log, RelayMetrics metrics) {

}
