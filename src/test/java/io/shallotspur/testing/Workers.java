package io.shallotspur.testing;

import java.util.ArrayList;
import java.util.List;

import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;

/**
 * Workers for tests. Stateless.
 */
public final class Workers {

	private static final int SLOTS = 20;

	private Workers() {
	}

	/**
	 * Creates the workers of a model, every fourth one for prefill, spread over three
	 * halls.
	 * @param upstream the model
	 * @param count how many
	 * @return the workers
	 */
	public static List<Worker> model(String upstream, int count) {
		List<Worker> l = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			WorkerRole role = (i % 4 == 0) ? WorkerRole.PREFILL : WorkerRole.DECODE;
			String id = upstream + "-" + i;
			l.add(new Worker(id, upstream, "hall-" + "abc".charAt(i / 4 % 3), role, "127.0.0.1:1", SLOTS, 0, 800, 1,
					1));
		}
		return l;
	}

}
