package io.shallotspur.cfg;

/**
 * The platform's services. Immutable.
 *
 * @param store the key-value service
 * @param vmList the VM list
 * @param weightStore the weight store
 * @param timeoutMs a call is given up after this, in milliseconds
 * @param writesPerS the most writes the whole fleet sends to the key-value service in a
 * second
 * @param readsPerS the most reads the whole fleet sends in a second
 * @param vmListPollMs how often the VM list is read, in milliseconds
 */
public record PlatformSection(Endpoint store, Endpoint vmList, Endpoint weightStore, long timeoutMs, double writesPerS,
		double readsPerS, long vmListPollMs) {

}
