/**
 * A randomized soak of the real program: several entry VMs as processes on loopback,
 * before stand-ins of the platform's store and of workers, behind proxies that fail.
 */
package io.shallotspur.platform.soak;
