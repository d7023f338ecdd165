package io.shallotspur.gateway;

import java.util.List;

import io.shallotspur.quarantine.CrashedRun;
import io.shallotspur.quarantine.PartFingerprint;
import io.shallotspur.quarantine.RequestIdentity;

/**
 * Records crashes of workers and completions at a gateway, for tests of other packages.
 */
public final class ObservedCrashes {

	private ObservedCrashes() {
	}

	/**
	 * Records the crash of a worker.
	 * @param gateway the gateway that observed it
	 * @param worker the worker
	 * @param running the fingerprints of the requests that were running on it
	 * @param now the present time in milliseconds
	 */
	public static void record(Gateway gateway, String worker, List<Long> running, long now) {
		WorkerInfo w = new WorkerInfo(worker, "up", "10.0.0.1", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, 0, "v1");
		gateway.quarantine()
			.recordCrash(w, running.stream().map((f) -> new CrashedRun(RequestIdentity.of(f), 0)).toList(), now);
	}

	/**
	 * Records the crash of a worker under one request whose prompt has shared parts.
	 * @param gateway the gateway that observed it
	 * @param worker the worker
	 * @param request the request
	 * @param now the present time in milliseconds
	 */
	public static void record(Gateway gateway, String worker, RequestIdentity request, long now) {
		WorkerInfo w = new WorkerInfo(worker, "up", "10.0.0.1", 80, "hall-a", 6, WorkerStage.DECODE, false, 0, 0, "v1");
		gateway.quarantine().recordCrash(w, List.of(new CrashedRun(request, 0)), now);
	}

	/**
	 * Records an answer of a worker to a prompt.
	 * @param gateway the gateway that received it
	 * @param parts the shared parts of the prompt
	 * @param now the present time in milliseconds
	 */
	public static void recordAnswer(Gateway gateway, List<PartFingerprint> parts, long now) {
		gateway.quarantine().recordAnswer(parts, "up", now);
	}

	/**
	 * Returns whether a gateway refuses a request.
	 * @param gateway the gateway
	 * @param request the request
	 * @param now the present time in milliseconds
	 * @return {@code true} if it does
	 */
	public static boolean isQuarantined(Gateway gateway, RequestIdentity request, long now) {
		return gateway.quarantine().contains(request, now);
	}

	/**
	 * Returns whether a gateway refuses a request.
	 * @param gateway the gateway
	 * @param fingerprint the fingerprint of the request
	 * @param now the present time in milliseconds
	 * @return {@code true} if it does
	 */
	public static boolean isQuarantined(Gateway gateway, long fingerprint, long now) {
		return isQuarantined(gateway, RequestIdentity.of(fingerprint), now);
	}

}
