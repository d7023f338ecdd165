/**
 * A randomized soak test of the packaged program: several entry VMs run as processes on
 * the loopback interface against fakes of the platform's store and workers, with proxies
 * in between that inject network faults.
 */
package io.shallotspur.platform.soak;
