package io.shallotspur.platform;

import java.time.Duration;
import java.util.Date;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.regex.Pattern;

import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpStatusClass;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

import io.shallotspur.adapter.http.WholeResponses;
import io.shallotspur.gateway.LoadReport;
import io.shallotspur.gateway.ResponseAuthenticity;
import io.shallotspur.gateway.ResponseHead;
import io.shallotspur.gateway.WorkerNotice;
import io.shallotspur.gateway.WorkerRateLimit;
import io.shallotspur.gateway.WorkerStatus;

/**
 * Decodes the status and headers of a worker's response. Stateless.
 */
final class ResponseHeadDecoder {

	/** HTTP 421: the address now belongs to another incarnation of the worker. */
	static final int MISDIRECTED = 421;

	private static final int MIN_LOAD_FIELDS = 3;

	// The value of the fourth load figure that means "as long as usual".
	private static final double USUAL_SLOWDOWN = 100;

	// Other values are taken for malformed ones.
	private static final double MIN_SLOWDOWN = 0.1;

	private static final double MAX_SLOWDOWN = 100;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private static final double MS_PER_S = 1_000;

	// A longer pause is taken for a malformed one.
	private static final double MAX_PAUSE_MS = Duration.ofDays(1).toMillis();

	private static final Pattern NUMBER = Pattern.compile("\\d{1,15}(\\.\\d{1,15})?");

	private static final String IS_LEAVING = "1";

	private static final String IS_NOT_LEAVING = "0";

	private ResponseHeadDecoder() {
	}

	static ResponseHead head(String requestId, int status, HttpHeaders h) {
		ResponseAuthenticity authenticity = authenticity(requestId, h);
		boolean mayAnswer = authenticity != ResponseAuthenticity.MISMATCHED;
		boolean otherIncarnation = mayAnswer && status == MISDIRECTED;
		boolean notExecuted = mayAnswer && (h.contains(PlatformNames.NOT_EXECUTED) || otherIncarnation);
		// The load and limit headers describe this worker only if the response comes from
		// the expected incarnation and answers this request.
		boolean complete = authenticity == ResponseAuthenticity.SIGNED && HttpStatusClass.SUCCESS.contains(status);
		WorkerStatus workerStatus = (otherIncarnation || !mayAnswer) ? WorkerStatus.NONE : workerStatus(h, complete);
		return new ResponseHead(status, PlatformNames.forwardedHeaders(h), authenticity, notExecuted, otherIncarnation,
				workerStatus, WholeResponses.endsWithConnection(status, h));
	}

	/**
	 * Decodes the load and the rate limit that a worker reports in its headers.
	 * @param h the response headers
	 * @param complete whether this kind of response has all of the worker's headers, so
	 * that a missing limit means that the worker has none
	 * @return the load and limit; {@code null} for each that is not reported
	 */
	static WorkerStatus workerStatus(HttpHeaders h, boolean complete) {
		return new WorkerStatus(load(h.get(PlatformNames.LOAD)), limit(h.get(PlatformNames.RATE_LIMIT), complete));
	}

	/**
	 * Decodes what a worker states about whether it may be sent anything further.
	 * @param requestId the id of the request, or {@code null} for a control call
	 * @param status the status
	 * @param h the response headers
	 * @return the notice; {@link WorkerNotice#NONE} if the response does not come from
	 * the expected incarnation or answers another request
	 */
	static WorkerNotice notice(@Nullable String requestId, int status, HttpHeaders h) {
		if (status == MISDIRECTED || answersOtherRequest(requestId, h)) {
			return WorkerNotice.NONE;
		}
		return new WorkerNotice(leaving(h), pauseMs(status, h).orElse(0));
	}

	// Control calls have no id, and the echo of none may be empty.
	private static boolean answersOtherRequest(@Nullable String requestId, HttpHeaders h) {
		String echoed = h.get(PlatformNames.REQUEST_ID, "");
		return !echoed.isEmpty() && !echoed.equals(requestId);
	}

	private static boolean leaving(HttpHeaders h) {
		List<String> values = h.getAll(PlatformNames.LEAVING);
		return values.size() == 1 && values.get(0).strip().equals(IS_LEAVING);
	}

	/**
	 * Tells whether a field states something that this class does not understand.
	 * @param name the name of the field
	 * @param status the status
	 * @param h the response headers
	 * @return whether its value is malformed
	 */
	static boolean isMalformed(String name, int status, HttpHeaders h) {
		if (name.equalsIgnoreCase(PlatformNames.LEAVING)) {
			return !leaving(h) && !IS_NOT_LEAVING.equals(h.get(name));
		}
		if (name.equalsIgnoreCase(PlatformNames.LOAD)) {
			String[] figures = h.get(name, "").split(",", -1);
			return figures.length > MIN_LOAD_FIELDS && slowdown(figures).isEmpty();
		}
		return name.equalsIgnoreCase(PlatformNames.RETRY_AFTER) && isRefusal(status) && pauseMs(status, h).isEmpty();
	}

	private static boolean isRefusal(int status) {
		return status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
	}

	// Other statuses use the field for other purposes, such as redirects.
	private static OptionalLong pauseMs(int status, HttpHeaders h) {
		List<String> values = h.getAll(PlatformNames.RETRY_AFTER);
		if (!isRefusal(status) || values.size() != 1) {
			return OptionalLong.empty();
		}
		double ms = delayMs(values.get(0).strip(), h);
		return (ms >= 0 && ms <= MAX_PAUSE_MS) ? OptionalLong.of((long) Math.ceil(ms)) : OptionalLong.empty();
	}

	// Returns NaN if the value is malformed.
	private static double delayMs(String value, HttpHeaders h) {
		if (NUMBER.matcher(value).matches()) {
			return Double.parseDouble(value) * MS_PER_S;
		}
		Date until = DateFormatter.parseHttpDate(value);
		Date sentAt = DateFormatter.parseHttpDate(h.get(HttpHeaderNames.DATE, ""));
		return (until != null && sentAt != null) ? until.getTime() - sentAt.getTime() : Double.NaN;
	}

	private static @Nullable WorkerRateLimit limit(@Nullable String v, boolean complete) {
		if (v == null) {
			return complete ? WorkerRateLimit.UNLIMITED : null;
		}
		try {
			double perSecond = Double.parseDouble(v.strip());
			if (perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY) {
				return new WorkerRateLimit(perSecond);
			}
		}
		catch (NumberFormatException ex) {
			// Logged and ignored below, like a number that is not a valid rate.
		}
		Logger.info("[platform] invalid limit ignored seen=\"{}\"", v);
		return null;
	}

	private static ResponseAuthenticity authenticity(String requestId, HttpHeaders h) {
		String echoed = h.get(PlatformNames.REQUEST_ID);
		// A late response to an earlier request on the same connection can only be
		// detected by its id. Requests never ask for a content encoding, so an encoded
		// body is not the worker's own response.
		boolean otherRequest = echoed != null && !echoed.equals(requestId);
		if (otherRequest || h.contains(HttpHeaderNames.CONTENT_ENCODING)) {
			return ResponseAuthenticity.MISMATCHED;
		}
		return (echoed != null && h.contains(PlatformNames.SIGNATURE)) ? ResponseAuthenticity.SIGNED
				: ResponseAuthenticity.UNSIGNED;
	}

	private static @Nullable LoadReport load(@Nullable String v) {
		if (v == null) {
			return null;
		}
		String[] p = v.split(",", -1);
		if (p.length < MIN_LOAD_FIELDS) {
			return null;
		}
		try {
			return new LoadReport(Integer.parseInt(p[0].strip()), Integer.parseInt(p[1].strip()),
					Integer.parseInt(p[2].strip()), slowdown(p));
		}
		catch (NumberFormatException ex) {
			// A malformed report is ignored; the load is then estimated without it.
			return null;
		}
	}

	// Empty if there is no fourth figure or it is malformed; the other three still count.
	private static OptionalDouble slowdown(String[] figures) {
		if (figures.length <= MIN_LOAD_FIELDS || !NUMBER.matcher(figures[MIN_LOAD_FIELDS].strip()).matches()) {
			return OptionalDouble.empty();
		}
		double factor = Double.parseDouble(figures[MIN_LOAD_FIELDS].strip()) / USUAL_SLOWDOWN;
		return (factor >= MIN_SLOWDOWN && factor <= MAX_SLOWDOWN) ? OptionalDouble.of(factor) : OptionalDouble.empty();
	}

}
