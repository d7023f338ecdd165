package io.shallotspur.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.gateway.LoadReport;
import io.shallotspur.gateway.ResponseHead;
import io.shallotspur.gateway.WorkerRateLimit;

/**
 * Tests of {@link ResponseHeadDecoder}, in particular of the rate limit of a worker.
 */
class ResponseHeadDecoderTests {

	private static HttpHeaders signed() {
		return new DefaultHttpHeaders().add("X-Request-Id", "r1").add("X-Server-Stamp", "3e1b.07");
	}

	private static ResponseHead head(int status, HttpHeaders h) {
		return ResponseHeadDecoder.head("r1", status, h);
	}

	@Test
	void decodesTheReportedLimit() {
		Assertions.assertThat(head(200, signed().add("Server-Limit", "3.9")).workerStatus().limit())
			.isEqualTo(new WorkerRateLimit(3.9));
		Assertions.assertThat(head(500, signed().add("Server-Limit", "0")).workerStatus().limit())
			.isEqualTo(new WorkerRateLimit(0));
	}

	@Test
	void successWithoutLimitEndsTheLimit() {
		Assertions.assertThat(head(200, signed()).workerStatus().limit()).isEqualTo(WorkerRateLimit.UNLIMITED);
	}

	// An overloaded worker sends refusals and failures without all of its usual headers.
	// If they ended its limit, each failure would bring it more load.
	@Test
	void refusalOrFailureWithoutLimitKeepsTheLimit() {
		Assertions.assertThat(head(500, signed()).workerStatus().limit()).isNull();
		HttpHeaders h = new DefaultHttpHeaders().add("X-Request-Id", "r1").add("X-Not-Executed", "1");
		Assertions.assertThat(head(503, h).workerStatus().limit()).isNull();
		Assertions.assertThat(head(503, h.add("Server-Limit", "2.5")).workerStatus().limit())
			.isEqualTo(new WorkerRateLimit(2.5));
	}

	// A response from another worker at the address, or to an earlier request, must
	// neither set a limit for a worker that reports none nor end a limit that still
	// applies.
	@Test
	void responseFromOtherWorkerOrRequestIsIgnored() {
		Assertions.assertThat(head(421, signed().add("Server-Limit", "2.5")).workerStatus().limit()).isNull();
		HttpHeaders late = new DefaultHttpHeaders().add("X-Request-Id", "r0").add("Server-Limit", "2.5");
		Assertions.assertThat(head(200, late).workerStatus().limit()).isNull();
	}

	private static boolean statesLeaving(int status, HttpHeaders h) {
		return ResponseHeadDecoder.notice("r1", status, h).leaving();
	}

	@Test
	void anyResponseOfTheWorkerMayStateThatItIsLeaving() {
		HttpHeaders h = new DefaultHttpHeaders().add("Server-Leaving", "1");
		Assertions.assertThat(statesLeaving(200, signed().add("server-leaving", "1"))).isTrue();
		Assertions.assertThat(statesLeaving(500, h)).isTrue();
		Assertions.assertThat(statesLeaving(503, h)).isTrue();
		Assertions.assertThat(ResponseHeadDecoder.notice(null, 200, h).leaving()).isTrue();
	}

	// Guards against statements that are dropped with a body that cannot be relayed, or
	// in a response to a control call, which has no id to echo.
	@Test
	void statementCountsWhateverTheBodyIs() {
		HttpHeaders encoded = signed().add("Server-Leaving", "1").add("Content-Encoding", "gzip");
		Assertions.assertThat(statesLeaving(503, encoded)).isTrue();
		HttpHeaders emptyId = new DefaultHttpHeaders().add("X-Request-Id", "").add("Server-Leaving", "1");
		Assertions.assertThat(ResponseHeadDecoder.notice(null, 200, emptyId).leaving()).isTrue();
	}

	// Guards against a response of another worker at the address, or to an earlier
	// request, that takes a worker out of use for good.
	@Test
	void statementOfOtherWorkerOrRequestIsIgnored() {
		HttpHeaders late = new DefaultHttpHeaders().add("X-Request-Id", "r0").add("Server-Leaving", "1");
		Assertions.assertThat(statesLeaving(200, late)).isFalse();
		Assertions.assertThat(statesLeaving(421, signed().add("Server-Leaving", "1"))).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "0", "yes", "-1", "1,1", "11" })
	void otherValuesDoNotStateThatTheWorkerIsLeaving(String value) {
		Assertions.assertThat(statesLeaving(200, signed().add("Server-Leaving", value))).isFalse();
		Assertions.assertThat(statesLeaving(200, signed().add("Server-Leaving", "1").add("Server-Leaving", "0")))
			.isFalse();
	}

	private static long pauseMs(int status, HttpHeaders h) {
		return ResponseHeadDecoder.notice("r1", status, h).pauseMs();
	}

	private static HttpHeaders retryAfter(String value) {
		return new DefaultHttpHeaders().add("Retry-After", value);
	}

	@ParameterizedTest
	@CsvSource({ "3,3000", "0.25,250", "0.0001,1", "0,0", "86400,86400000" })
	void refusalMayAskForAPause(String value, long expectedMs) {
		Assertions.assertThat(pauseMs(503, retryAfter(value))).isEqualTo(expectedMs);
		Assertions.assertThat(pauseMs(429, retryAfter(value))).isEqualTo(expectedMs);
		Assertions.assertThat(pauseMs(200, retryAfter(value))).isZero();
	}

	// The clock of this VM may differ from the worker's, so a date counts from the
	// response's own.
	@Test
	void pauseUntilADateCountsFromTheResponse() {
		HttpHeaders h = retryAfter("Thu, 03 Dec 2026 16:00:05 GMT").add("Date", "Thu, 03 Dec 2026 16:00:01 GMT");
		Assertions.assertThat(pauseMs(503, h)).isEqualTo(4_000);
		Assertions.assertThat(pauseMs(503, h.remove("Date"))).isZero();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "soon", "-3", "1e3", "NaN", "Infinity", "86401", "999999999999999999999", "3 s",
			"Thu, 03 Dec 2026 16:00:00 GMT" })
	void malformedPauseIsIgnored(String value) {
		HttpHeaders h = retryAfter(value).add("Date", "Thu, 03 Dec 2026 16:00:01 GMT");
		Assertions.assertThat(pauseMs(503, h)).isZero();
		Assertions.assertThat(ResponseHeadDecoder.isMalformed("retry-after", 503, h)).isTrue();
		Assertions.assertThat(ResponseHeadDecoder.isMalformed("retry-after", 301, h)).isFalse();
	}

	@Test
	void severalPausesInOneResponseAreIgnored() {
		Assertions.assertThat(pauseMs(503, retryAfter("3").add("Retry-After", "4"))).isZero();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "many", "-1", "NaN", "Infinity" })
	void invalidRateIsIgnored(String value) {
		Assertions.assertThat(head(200, signed().add("Server-Limit", value)).workerStatus().limit()).isNull();
	}

	// Guards against a figure that cannot be read taking the other three with it, and
	// against one that passes unseen.
	@ParameterizedTest
	@CsvSource({ "'3,1,8',0,false", "'3, 1, 8, 100',1,false", "'3,1,8,250',2.5,false", "'3,1,8,87.5',0.875,false",
			"'3,1,8,',0,true", "'3,1,8,fast',0,true", "'3,1,8,-100',0,true", "'3,1,8,0',0,true", "'3,1,8,1e3',0,true",
			"'3,1,8,NaN',0,true", "'3,1,8,99999999',0,true" })
	void decodesTheStatedSlowdown(String value, double slowdown, boolean malformed) {
		HttpHeaders h = signed().add("X-Server-Load", value);
		LoadReport load = head(200, h).workerStatus().load();
		Assertions.assertThat(load).isNotNull();
		Assertions.assertThat(load.running()).isEqualTo(3);
		Assertions.assertThat(load.waiting()).isEqualTo(1);
		Assertions.assertThat(load.slots()).isEqualTo(8);
		Assertions.assertThat(load.slowdown().orElse(0)).isEqualTo(slowdown);
		Assertions.assertThat(ResponseHeadDecoder.isMalformed("x-server-load", 200, h)).isEqualTo(malformed);
	}

}
