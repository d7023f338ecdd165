package io.shallotspur.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What callers and workers have seen, and what that proves. Thread-safe.
 */
final class Evidence {

	private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

	// A leaving worker gets nothing later than this, ms.
	private static final long LEAVES_MS = 2_000;

	// VMs are held to times once they and the store were left alone for so long, ms.
	private static final long CALM_MS = 3_000;

	private final AtomicInteger disturbances = new AtomicInteger();

	private final AtomicLong disturbedAt = new AtomicLong(Long.MIN_VALUE / 2);

	private final Map<String, Kind> sent = new ConcurrentHashMap<>();

	private final Map<String, String> sentTo = new ConcurrentHashMap<>();

	private final Map<String, Credentials> credentials = new ConcurrentHashMap<>();

	private final SoakKeys keys;

	private final Map<String, List<String>> runs = new ConcurrentHashMap<>();

	private final Map<String, Integer> refused = new ConcurrentHashMap<>();

	private final Map<String, LimitedWorker> limited = new ConcurrentHashMap<>();

	private final Map<String, Long> fences = new ConcurrentHashMap<>();

	private final List<String> broken = new CopyOnWriteArrayList<>();

	Evidence(SoakKeys keys) {
		this.keys = keys;
	}

	/**
	 * A caller sends a request with a key.
	 * @param id the request
	 * @param kind what it is
	 * @param key the key
	 * @param nowMs the present time in milliseconds
	 */
	void sent(String id, Kind kind, String key, long nowMs) {
		this.credentials.put(id, new Credentials(key, nowMs));
		sent(id, kind);
	}

	/**
	 * A caller chooses a VM for a request.
	 * @param id the request
	 * @param vm the VM's address
	 */
	void sentTo(String id, String vm) {
		this.sentTo.put(id, vm);
	}

	/**
	 * A VM is killed, stopped or cut off, or has just been.
	 * @param vm its address
	 * @param nowMs the present time in milliseconds
	 */
	void struck(String vm, long nowMs) {
		this.limited.values().forEach((l) -> l.struck(vm, nowMs));
	}

	void sent(String id, Kind kind) {
		this.sent.put(id, kind);
	}

	/**
	 * A worker begins to work on a request.
	 * @param id the request
	 * @param worker the worker
	 */
	void run(String id, String worker) {
		this.runs.computeIfAbsent(id, (i) -> new CopyOnWriteArrayList<>()).add(worker);
		if (!this.sent.containsKey(id)) {
			broken("UNASKED id=" + id + " worker=" + worker);
		}
	}

	static long nowMs() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/** VMs or the store are disturbed from now on. */
	void disturbanceBegins() {
		this.disturbances.incrementAndGet();
	}

	/**
	 * One of the disturbances is over.
	 * @param nowMs the present time in milliseconds
	 */
	void disturbanceEnds(long nowMs) {
		this.disturbedAt.set(nowMs);
		this.disturbances.decrementAndGet();
	}

	/**
	 * A request reaches a worker.
	 * @param id the request
	 * @param worker the worker
	 * @param leftAtMs when the store had taken that the worker leaves, in milliseconds;
	 * {@link Long#MAX_VALUE} if it stays
	 * @param nowMs the present time in milliseconds
	 */
	void reached(String id, String worker, long leftAtMs, long nowMs) {
		LimitedWorker limit = this.limited.get(worker);
		if (limit != null) {
			limit.reached(this.sentTo.getOrDefault(id, ""), nowMs)
				.ifPresent((b) -> broken("LIMIT id=" + id + " worker=" + worker + " " + b));
		}
		long late = nowMs - leftAtMs;
		boolean calm = this.disturbances.get() == 0 && this.disturbedAt.get() + CALM_MS < leftAtMs;
		if (leftAtMs != Long.MAX_VALUE && late > LEAVES_MS && calm) {
			broken("DRAIN id=" + id + " worker=" + worker + " ms-after-leaving=" + late);
		}
	}

	/**
	 * A worker names a limit from now on, or none.
	 * @param worker the worker
	 * @param perSecond requests a second; infinite for none
	 * @param nowMs the present time in milliseconds
	 */
	void limited(String worker, double perSecond, long nowMs) {
		if (perSecond < Double.POSITIVE_INFINITY) {
			this.limited.put(worker, new LimitedWorker(perSecond, nowMs));
		}
		else {
			this.limited.remove(worker);
		}
	}

	/**
	 * A worker is told whose request it runs.
	 * @param id the request
	 * @param customer the customer, or {@code null}
	 * @param key the key that came with it, or {@code null} as it has to be
	 */
	void ranFor(String id, String customer, String key) {
		Credentials c = this.credentials.get(id);
		if (c == null) {
			return;
		}
		if (key != null) {
			broken("UNASKED id=" + id + " the key was passed on");
		}
		if (!SoakKeys.customerOf(c.key()).equals(customer)) {
			broken("UNASKED id=" + id + " key=" + c.key() + " customer=" + customer);
		}
		this.keys.fault(c.key(), c.sentAtMs())
			.ifPresent((f) -> broken("CONFIG id=" + id + " key=" + c.key() + " " + f));
	}

	/**
	 * A worker accepts an order.
	 * @param worker the worker
	 * @param fence the order's fencing number
	 */
	void ordered(String worker, long fence) {
		Long before = this.fences.put(worker, fence);
		if (before != null && before > fence) {
			broken("ONE worker=" + worker + " fence=" + fence + " after=" + before);
		}
	}

	/**
	 * A caller gets a whole answer.
	 * @param id its request
	 * @param status the status
	 * @param body the body
	 */
	void answered(String id, int status, String body) {
		if (NOT_RUN.contains(status)) {
			this.refused.put(id, status);
		}
		else if (status == 200) {
			judge(id, body);
		}
	}

	private void judge(String id, String body) {
		List<String> by = this.runs.getOrDefault(id, List.of());
		if (by.isEmpty()) {
			broken("MIXED id=" + id + " answered without a run");
		}
		else if (this.sent.get(id).stream) {
			if (!body.equals(SoakWorker.stream(id, 0))) {
				broken("ORDER id=" + id + " body=\"" + body.replace('\n', '|') + "\"");
			}
		}
		else if (by.stream().noneMatch((w) -> body.equals(SoakWorker.plain(id, w)))) {
			broken("MIXED id=" + id + " by=" + by + " body=\"" + body + "\"");
		}
	}

	void broken(String what) {
		this.broken.add(what);
	}

	/**
	 * Returns what was broken, once nothing runs any more.
	 * @return the broken promises; empty if all were kept
	 */
	List<String> broken() {
		List<String> l = new ArrayList<>(this.broken);
		this.runs.forEach((id, by) -> {
			if (by.size() > 1 && !this.sent.getOrDefault(id, Kind.UNSAFE).repeatable) {
				l.add("TWICE id=" + id + " by=" + by);
			}
			if (this.refused.containsKey(id) && !this.sent.getOrDefault(id, Kind.UNSAFE).repeatable) {
				l.add("REFUSED id=" + id + " status=" + this.refused.get(id) + " by=" + by);
			}
		});
		return l;
	}

	String summary() {
		long ran = this.runs.values().stream().mapToInt(List::size).sum();
		return "sent=" + this.sent.size() + " runs=" + ran + " refused=" + this.refused.size() + " orders="
				+ this.fences.size();
	}

	private record Credentials(String key, long sentAtMs) {

	}

	/**
	 * What a request is.
	 */
	enum Kind {

		SAFE("safe", true, false), UNSAFE("unsafe", false, false), ONCE("once", false, true),
		RESUMABLE("resume", true, true);

		final String path;

		final boolean repeatable;

		final boolean stream;

		Kind(String path, boolean repeatable, boolean stream) {
			this.path = path;
			this.repeatable = repeatable;
			this.stream = stream;
		}

	}

}
