package io.shallotspur.adapter.http;

import java.net.ConnectException;
import java.net.UnknownHostException;

import reactor.netty.internal.shaded.reactor.pool.PoolAcquirePendingLimitException;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquireTimeoutException;

import io.shallotspur.exc.EngineException;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.exc.EngineRefusedException;

/**
 * Tells failures of calls to workers apart: those that surely were not run, and those
 * that may have been. What is not known to be the former is taken for the latter, since a
 * caller who is wrongly told "not run" would run a renewal twice.
 */
public final class WorkerFailures {

	private WorkerFailures() {
	}

	/**
	 * Translates a failure of the HTTP client.
	 * @param worker the worker that was called
	 * @param ex the failure
	 * @return the failure as the ports define it
	 */
	public static EngineException of(String worker, Throwable ex) {
		if (ex instanceof EngineException e) {
			return e;
		}
		if (neverSent(ex)) {
			return new EngineRefusedException("The worker cannot be reached.", worker, ex);
		}
		return new EngineLostException("The connection to the worker broke.", worker, ex);
	}

	private static boolean neverSent(Throwable ex) {
		return ex instanceof ConnectException || ex instanceof UnknownHostException
				|| ex instanceof PoolAcquireTimeoutException || ex instanceof PoolAcquirePendingLimitException;
	}

}
