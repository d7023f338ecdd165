package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The entry VMs that take callers, and which of them a caller is told to use. Not
 * thread-safe; confined to the gateway's thread.
 */
public final class EntryVms {

	// A hall whose VMs are fewer sends its callers to other halls too: one VM alone would
	// be lost to all of them at once.
	private static final int FEWEST_NEAR = 2;

	private final Map<String, Entry> byKey = new LinkedHashMap<>();

	/**
	 * Takes the registration of a VM.
	 * @param key its key, unique for each start of a VM
	 * @param address where callers connect
	 * @param hall where it runs
	 */
	public void seen(String key, String address, String hall) {
		this.byKey.put(key, new Entry(address, hall, Long.MAX_VALUE));
	}

	/**
	 * Takes the end of a registration.
	 * @param key its key
	 * @param now the present time in milliseconds
	 * @param graceMs how long callers are still sent there, in milliseconds
	 */
	public void vanished(String key, long now, long graceMs) {
		this.byKey.computeIfPresent(key,
				(k, e) -> new Entry(e.address(), e.hall(), Math.min(e.until(), now + graceMs)));
	}

	/**
	 * Takes a whole listing: registrations that it lacks have ended.
	 * @param keys all keys
	 * @param now the present time in milliseconds
	 * @param graceMs as in {@link #vanished}
	 */
	public void retain(Set<String> keys, long now, long graceMs) {
		for (String k : this.byKey.keySet()) {
			if (!keys.contains(k)) {
				vanished(k, now, graceMs);
			}
		}
	}

	/**
	 * Returns how many other VMs come before one in an order that all VMs agree on as far
	 * as they know the same registrations.
	 * @param key the VM's key
	 * @param now the present time in milliseconds
	 * @return its rank; 0 is first
	 */
	public int rank(String key, long now) {
		return (int) this.byKey.entrySet()
			.stream()
			.filter((e) -> now < e.getValue().until() && e.getKey().compareTo(key) < 0)
			.count();
	}

	/**
	 * Returns how many VMs take callers.
	 * @param now the present time in milliseconds
	 * @return the number, without doubles of one address
	 */
	public int count(long now) {
		return addresses(now, (e) -> true).size();
	}

	/**
	 * Returns the addresses a caller may use: those of its hall if there are enough, else
	 * all.
	 * @param hall the caller's hall
	 * @param max the most addresses
	 * @param now the present time in milliseconds
	 * @return the addresses, without doubles
	 */
	public List<String> forCaller(String hall, int max, long now) {
		List<String> near = addresses(now, (e) -> e.hall().equals(hall));
		List<String> l = (near.size() >= FEWEST_NEAR) ? near : addresses(now, (e) -> true);
		return l.subList(0, Math.min(max, l.size()));
	}

	private List<String> addresses(long now, Predicate<Entry> wanted) {
		this.byKey.values().removeIf((e) -> now >= e.until());
		Set<String> seen = new HashSet<>();
		List<String> l = new ArrayList<>();
		for (Entry e : this.byKey.values()) {
			if (wanted.test(e) && seen.add(e.address())) {
				l.add(e.address());
			}
		}
		return l;
	}

	private record Entry(String address, String hall, long until) {

	}

}
