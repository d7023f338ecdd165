package io.shallotspur.platform;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.Stream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * End-to-end tests of what workers state about themselves in their responses.
 */
class WorkerStatementTests extends EndToEndFixture {

	// Guards against a new header field of workers that is ignored without a trace.
	@Test
	void countsResponseFieldsThatAreNotKnown() {
		this.p1.responseFields.put("Server-Wish", "1");
		this.p2.responseFields.put("Server-Wish", "1");
		this.d1.responseFields.put("Decode-Wish", "2");
		send(request("/safe/x").build());
		send(request("/model/x").header("X-Token-Count", "200,20").build());
		Assertions.assertThat(metrics())
			.contains("workers_unknown_field_server_wish_total 1.0", "workers_unknown_field_decode_wish_total 2.0")
			.doesNotContain("unknown_field_x_", "unknown_field_content");
	}

	// Guards against requests to a worker that states in its responses that it is
	// leaving, while the store still shows it as ready.
	@Test
	void sendsNothingToAWorkerThatStatesThatItIsLeaving() {
		this.p1.responseFields.put("Server-Leaving", "1");
		await(() -> {
			send(request("/safe/x").build());
			return !this.p1.receivedRequests.isEmpty();
		});
		int before = this.p1.receivedRequests.size();
		for (int i = 0; i < 20; i++) {
			Assertions.assertThat(send(request("/safe/x").build()).statusCode()).isEqualTo(200);
		}
		Assertions.assertThat(this.p1.receivedRequests).hasSize(before);
	}

	// Guards against a statement that only the response to a reservation carries: the
	// request would use the reserved place.
	@Test
	void givesBackAReservationAtAWorkerThatIsLeaving() {
		this.d1.responseFields.put("Server-Leaving", "1");
		HttpResponse<String> r = send(request("/model/x").header("X-Token-Count", "200,20").build());
		Assertions.assertThat(r.statusCode()).isEqualTo(503);
		Assertions.assertThat(this.d1.receivedRequests).isEmpty();
	}

	@Test
	void sendsNoFurtherPrefillToAWorkerThatIsLeaving() {
		this.f1.responseFields.put("Server-Leaving", "1");
		Assertions.assertThat(Stream.generate(this::sendLongPrompt).limit(3)).containsOnly(200);
		Assertions.assertThat(this.f1.receivedRequests).hasSize(1);
	}

	@Test
	void sendsNoFurtherPrefillToAWorkerThatAskedForAPause() {
		this.f1.refusePrefillsWith = "30";
		Assertions.assertThat(sendLongPrompt()).isEqualTo(503);
		Assertions.assertThat(Stream.generate(this::sendLongPrompt).limit(3)).containsOnly(200);
		Assertions.assertThat(this.f1.receivedRequests).hasSize(1);
	}

	// Sends a request whose prompt is prefilled at a separate worker.
	private int sendLongPrompt() {
		return send(request("/model/x").header("X-Token-Count", "3000,20").build()).statusCode();
	}

	// Guards against requests to workers that have refused one and asked for a pause.
	@Test
	void sendsNothingToAWorkerThatAskedForAPause() {
		for (FakeWorker w : List.of(this.p1, this.p2)) {
			w.nextBehaviours.add((s) -> FakeWorker.refuseAsFull(s.header("Retry-After", "30")));
		}
		List<HttpResponse<String>> responses = Stream.generate(() -> send(request("/safe/x").build()))
			.limit(5)
			.toList();
		Assertions.assertThat(this.p1.receivedRequests).hasSize(1);
		Assertions.assertThat(this.p2.receivedRequests).hasSize(1);
		Assertions.assertThat(responses)
			.allMatch((r) -> r.statusCode() == 503)
			.allMatch((r) -> r.headers().firstValue("Retry-After").isPresent());
	}

}
