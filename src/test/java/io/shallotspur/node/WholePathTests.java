package io.shallotspur.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import io.shallotspur.node.ServingFixture.Answer;
import io.shallotspur.standin.StandinPrompt;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests from the caller's socket to the stand-ins and back.
 */
class WholePathTests {

	private final ServingFixture f = ServingFixture.create();

	private EntryVm vm;

	@BeforeEach
	void start() {
		this.vm = this.f.owner("vm-1");
		this.f.awaitReady(this.vm);
	}

	@AfterEach
	void stop() {
		this.f.close();
	}

	@Test
	void answersWhole() {
		Answer a = this.f.send(this.vm, "/v1/completions", ServingFixture.card("Guest card", 12, false));
		assertThat(a.status()).isEqualTo(200);
		assertThat(a.json().at("/choices/0/text").asText()).isEqualTo(StandinPrompt.answer("Guest card", 12));
		assertThat(a.json().at("/usage/completion_tokens").asInt()).isEqualTo(12);
	}

	@Test
	void streamsChatWithResumeTokenAndEnd() {
		String body = "{\"messages\":[{\"role\":\"user\",\"content\":\"Hi\"}],\"max_tokens\":5,\"stream\":true}";
		Answer a = this.f.send(this.vm, "/v1/chat/completions", body);
		List<String> events = List.of(a.body().split("\n\n"));
		assertThat(a.headers().get("Content-Type")).isEqualTo("text/event-stream");
		assertThat(events).hasSize(8);
		assertThat(events.get(0)).containsPattern("\"shallotspur_resume\":\"[-_.A-Za-z0-9]{40,}\"");
		assertThat(events.get(1)).startsWith("id: 0\ndata: {").contains("\"delta\":{\"content\":\" ");
		assertThat(events.get(6)).contains("\"finish_reason\":\"stop\"");
		assertThat(events.get(7)).isEqualTo("data: [DONE]");
		events.subList(0, 7)
			.forEach((e) -> assertThat(ServingFixture.json(e.substring(e.indexOf('{'))).isObject()).isTrue());
		ServingFixture.await(this.f::nothingHeld);
	}

	@Test
	void countsWhatWasPrefilledForAnAnswerAsUsed() {
		ServingFixture.await(this.f::nothingHeld);
		long before = this.f.prefilled.get();
		this.f.send(this.vm, "/v1/completions", ServingFixture.card("z".repeat(2000), 3, false));
		ServingFixture.await(() -> this.f.prefilled.get() > before);
		assertThat(this.f.wasted).hasValue(0);
	}

	@Test
	void locatesOwners() {
		Answer a = this.f.send(this.vm, HttpMethod.GET, "/v1/locate?customer=lonestar-motels&class=registration-card",
				"", Map.of());
		assertThat(a.json().path("addresses")).hasSize(2);
		assertThat(a.json().path("ttl_ms").asLong()).isEqualTo(2000);
	}

	@Test
	void runsModelRequestOnceWhenItMayNotBeRepeated() {
		Map<String, String> h = Map.of("Shallotspur-Class", "signed-card", "Idempotency-Key", "s1");
		String body = ServingFixture.card("Signed", 8, false);
		int before = this.f.state("p1").path("prefills").asInt();
		Answer first = this.f.send(this.vm, HttpMethod.POST, "/v1/completions", body, h);
		Answer again = this.f.send(this.vm, HttpMethod.POST, "/v1/completions", body, h);
		assertThat(first.json().at("/choices/0/text").asText()).isEqualTo(StandinPrompt.answer("Signed", 8));
		assertThat(again.json().at("/choices/0/text")).isEqualTo(first.json().at("/choices/0/text"));
		assertThat(this.f.state("p1").path("prefills").asInt()).isEqualTo(before + 1);
		assertThat(this.f.ledger.calls).containsExactly("begin s1", "answered s1", "begin s1");
	}

	/**
	 * An entry VM is taken out of service while an answer streams through it. The answer
	 * comes whole, and a new request is sent elsewhere.
	 */
	@Test
	void drainCutsNoAnswer() {
		List<String> seen = new CopyOnWriteArrayList<>();
		Disposable d = this.f.stream(this.vm, ServingFixture.card("x", 100, true), Map.of()).subscribe(seen::add);
		ServingFixture.await(() -> seen.size() > 3);
		Disposable drain = this.vm.drain().subscribe();
		ServingFixture.await(() -> this.f.send(this.vm, "/v1/completions", ServingFixture.card("y", 1, false))
			.body()
			.contains("draining"));
		assertThat(drain.isDisposed()).isFalse();
		ServingFixture.await(d::isDisposed);
		assertThat(seen.get(seen.size() - 1)).isEqualTo("data: [DONE]\n\n");
		ServingFixture.await(drain::isDisposed);
	}

	@Test
	void givesResentKeyTheSameAnswer() {
		Map<String, String> h = Map.of("Shallotspur-Class", "key-encoding", "Idempotency-Key", "k1");
		Answer first = this.f.send(this.vm, HttpMethod.POST, "/v1/upstreams/kiosk-api/keys?room=7", "{}", h);
		Answer again = this.f.send(this.vm, HttpMethod.POST, "/v1/upstreams/kiosk-api/keys?room=7", "{}", h);
		assertThat(first.status()).isEqualTo(200);
		assertThat(again.body()).isEqualTo(first.body());
		assertThat(this.f.plain.runs().get("k1")).hasValue(1);
		assertThat(this.f.ledger.calls).containsExactly("begin k1", "answered k1", "begin k1");
	}

}
