package io.shallotspur.platform;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

import io.shallotspur.gateway.AnswerHead;
import io.shallotspur.gateway.AnswerOrigin;
import io.shallotspur.gateway.LoadReport;

/**
 * Decodes the head of a worker's answer. Stateless.
 */
final class AnswerDecoder {

	/** Another incarnation has the address. */
	static final int MISDIRECTED = 421;

	private static final int LOAD_FIELDS = 3;

	private AnswerDecoder() {
	}

	static AnswerHead head(String requestId, int status, HttpHeaders h) {
		boolean other = status == MISDIRECTED;
		boolean notRun = h.contains(Names.NOT_RUN) || other;
		return new AnswerHead(status, Names.relayed(h), origin(requestId, h), notRun, other, load(h.get(Names.LOAD)));
	}

	private static AnswerOrigin origin(String requestId, HttpHeaders h) {
		String echoed = h.get(Names.REQUEST_ID);
		// A late answer to an earlier request can come where this one's is due; only the
		// id tells. Encoded bodies are not asked for, so they are not the worker's.
		boolean other = echoed != null && !echoed.equals(requestId);
		if (other || h.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return AnswerOrigin.FOREIGN;
		}
		return (echoed != null && h.contains(Names.SIGNATURE)) ? AnswerOrigin.SIGNED : AnswerOrigin.UNSIGNED;
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
