package io.shallotspur.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.gateway.ResponseHead;
import io.shallotspur.gateway.ResponseAuthenticity;
import io.shallotspur.gateway.LoadReport;
import io.shallotspur.gateway.WorkerRateLimit;
import io.shallotspur.gateway.WorkerStatus;

/**
 * Decodes the head of a worker's answer. Stateless.
 */
final class AnswerDecoder {

	/** Another incarnation has the address. */
	static final int MISDIRECTED = 421;

	private static final int LOAD_FIELDS = 3;

	private AnswerDecoder() {
	}

	static ResponseHead head(String requestId, int status, HttpHeaders h) {
		boolean other = status == MISDIRECTED;
		boolean notRun = h.contains(Names.NOT_RUN) || other;
		ResponseAuthenticity origin = origin(requestId, h);
		// Another incarnation, and an answer to another request, say nothing of this
		// worker at present.
		boolean whole = origin == ResponseAuthenticity.SIGNED && HttpStatusClass.SUCCESS.contains(status);
		WorkerStatus news = (other || origin == ResponseAuthenticity.MISMATCHED) ? WorkerStatus.NONE : news(h, whole);
		return new ResponseHead(status, Names.relayed(h), origin, notRun, other, news);
	}

	/**
	 * Decodes what a worker says of itself.
	 * @param h the fields of its answer
	 * @param tellsAll whether an answer of this kind has all that the worker says, so
	 * that a field that it lacks is not meant
	 * @return the news
	 */
	static WorkerStatus news(HttpHeaders h, boolean tellsAll) {
		return new WorkerStatus(load(h.get(Names.LOAD)), limit(h.get(Names.LIMIT), tellsAll));
	}

	private static @Nullable WorkerRateLimit limit(@Nullable String v, boolean tellsAll) {
		if (v == null) {
			return tellsAll ? WorkerRateLimit.UNLIMITED : null;
		}
		try {
			double perSecond = Double.parseDouble(v.strip());
			if (perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY) {
				return new WorkerRateLimit(perSecond);
			}
		}
		catch (NumberFormatException ex) {
			// Left aside below, like a number that is no rate.
		}
		Logger.info("[platform] limit left aside seen=\"{}\"", v);
		return null;
	}

	private static ResponseAuthenticity origin(String requestId, HttpHeaders h) {
		String echoed = h.get(Names.REQUEST_ID);
		// A late answer to an earlier request can come where this one's is due; only the
		// id tells. Encoded bodies are not asked for, so they are not the worker's.
		boolean other = echoed != null && !echoed.equals(requestId);
		if (other || h.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return ResponseAuthenticity.MISMATCHED;
		}
		return (echoed != null && h.contains(Names.SIGNATURE)) ? ResponseAuthenticity.SIGNED : ResponseAuthenticity.UNSIGNED;
	}

	private static @Nullable LoadReport load(@Nullable String v) {
		if (v == null) {
			return null;
		}
		String[] p = v.split(",");
		if (p.length < LOAD_FIELDS) {
			return null;
		}
		try {
			return new LoadReport(Integer.parseInt(p[0].strip()), Integer.parseInt(p[1].strip()),
					Integer.parseInt(p[2].strip()));
		}
		catch (NumberFormatException ex) {
			// A spoilt report says nothing; the load is estimated without it.
			return null;
		}
	}

}
