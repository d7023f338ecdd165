package io.shallotspur.gateway;

import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;

/**
 * The external dependencies of a gateway. Immutable.
 *
 * @param workers calls to workers
 * @param timer runs delayed tasks on the gateway's thread
 * @param clock the current time in milliseconds; monotonic
 * @param wallClock the time of day in Unix milliseconds; may be adjusted at any time
 * @param random random numbers from 0 (inclusive) to 1 (exclusive)
 * @param log the decision log
 * @param metrics counters and timers
 */
public record GatewayPorts(WorkerPort workers, GatewayTimer timer, LongSupplier clock, LongSupplier wallClock,
		DoubleSupplier random, DecisionLog log, RelayMetrics metrics) {

}
