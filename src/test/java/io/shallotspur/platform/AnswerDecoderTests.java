package io.shallotspur.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.gateway.ResponseHead;
import io.shallotspur.gateway.WorkerRateLimit;

/**
 * Tests of what the head of an answer tells of its worker.
 */
class AnswerDecoderTests {

	private static HttpHeaders signed() {
		return new DefaultHttpHeaders().add("X-Request-Id", "r1").add("X-Server-Stamp", "3e1b.07");
	}

	private static ResponseHead head(int status, HttpHeaders h) {
		return AnswerDecoder.head("r1", status, h);
	}

	@Test
	void readsTheLimitThatAWorkerNames() {
		Assertions.assertThat(head(200, signed().add("Server-Limit", "3.9")).workerStatus().limit())
			.isEqualTo(new WorkerRateLimit(3.9));
		Assertions.assertThat(head(500, signed().add("Server-Limit", "0")).workerStatus().limit())
			.isEqualTo(new WorkerRateLimit(0));
	}

	@Test
	void aSuccessWithoutALimitEndsIt() {
		Assertions.assertThat(head(200, signed()).workerStatus().limit()).isEqualTo(WorkerRateLimit.UNLIMITED);
	}

	// A worker in need refuses, and fails, without all of its usual fields; taken for the
	// end of its limit, each failure would bring on more of what it fails at.
	@Test
	void aRefusalOrFailureWithoutALimitDoesNotEndIt() {
		Assertions.assertThat(head(500, signed()).workerStatus().limit()).isNull();
		HttpHeaders h = new DefaultHttpHeaders().add("X-Request-Id", "r1").add("X-Not-Executed", "1");
		Assertions.assertThat(head(503, h).workerStatus().limit()).isNull();
		Assertions.assertThat(head(503, h.add("Server-Limit", "2.5")).workerStatus().limit()).isEqualTo(new WorkerRateLimit(2.5));
	}

	// The answer of another worker at the address, or to an earlier request, would put a
	// limit on a worker that names none, or end one that still holds.
	@Test
	void anAnswerOfAnotherWorkerOrRequestTellsNothing() {
		Assertions.assertThat(head(421, signed().add("Server-Limit", "2.5")).workerStatus().limit()).isNull();
		HttpHeaders late = new DefaultHttpHeaders().add("X-Request-Id", "r0").add("Server-Limit", "2.5");
		Assertions.assertThat(head(200, late).workerStatus().limit()).isNull();
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "many", "-1", "NaN", "Infinity" })
	void whatIsNoRateTellsNothing(String value) {
		Assertions.assertThat(head(200, signed().add("Server-Limit", value)).workerStatus().limit()).isNull();
	}

}
