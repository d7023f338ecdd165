package io.shallotspur.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import io.shallotspur.adapter.caller.CallerSettings;
import io.shallotspur.node.ServingFixture.Answer;
import io.shallotspur.standin.StandinPrompt;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that reach a VM other than their owner.
 */
class ForwardTests {

	private final ServingFixture f = ServingFixture.create();

	private EntryVm owner;

	private EntryVm other;

	@BeforeEach
	void start() {
		this.owner = this.f.owner("owner");
		this.other = this.f.start("other", (u, c, p) -> new Owner.Peer("owner"), CallerSettings.defaults());
		this.f.awaitReady(this.owner);
	}

	@AfterEach
	void stop() {
		ServingFixture.await(this.f::nothingHeld);
		this.f.close();
	}

	@Test
	void ownerAnswersThroughTheOtherVm() {
		Answer a = this.f.send(this.other, "/v1/completions", ServingFixture.card("Card", 9, false));
		assertThat(a.json().at("/choices/0/text").asText()).isEqualTo(StandinPrompt.answer("Card", 9));
		Map<String, String> h = Map.of("Shallotspur-Class", "key-encoding", "Idempotency-Key", "k1");
		Answer k = this.f.send(this.other, HttpMethod.POST, "/v1/upstreams/kiosk-api/keys", "{}", h);
		assertThat(k.json().path("worker").asText()).isEqualTo("kiosk-1");
		assertThat(this.f.peers.streams).hasValue(2);
	}

	@Test
	void refusalKeepsItsTypeAcrossVms() {
		Answer a = this.f.send(this.other, "/v1/completions", "{}");
		assertThat(a.status()).isEqualTo(400);
		this.owner.drain().block(ServingFixture.PATIENCE);
		Answer d = this.f.send(this.other, "/v1/completions", ServingFixture.card("Card", 9, false));
		assertThat(d.status()).isEqualTo(503);
		assertThat(d.json().path("title").asText()).isEqualTo("draining");
	}

	/**
	 * Two VMs disagree about who owns a cell, each taking the other for the owner.
	 * Without a limit the request would go to and fro until its deadline.
	 */
	@Test
	void endsTheLoopOfDifferentViews() {
		EntryVm a = this.f.start("a", (u, c, p) -> new Owner.Peer("b"), CallerSettings.defaults());
		this.f.start("b", (u, c, p) -> new Owner.Peer("a"), CallerSettings.defaults());
		Answer r = this.f.send(a, "/v1/completions", ServingFixture.card("Card", 9, false));
		assertThat(r.json().path("title").asText()).isEqualTo("hop-limit");
		assertThat(r.json().path("outcome").asText()).isEqualTo("not_run");
	}

	/**
	 * A caller of the other VM leaves in the middle of its answer. The owner is told, and
	 * the engine's slot is free.
	 */
	@Test
	void cancelReachesTheOwner() {
		List<String> seen = new CopyOnWriteArrayList<>();
		Disposable d = this.f.stream(this.other, ServingFixture.card("x", 100_000, true), Map.of())
			.subscribe(seen::add);
		ServingFixture.await(() -> seen.size() > 3);
		d.dispose();
		ServingFixture.await(this.f::nothingHeld);
	}

	/**
	 * The owner dies in the middle of an answer. The engine's stream lives on, so the
	 * caller gets the rest, and nothing is read a second time.
	 */
	@Test
	void takesTheRestFromTheEngineWhenTheOwnerIsLost() {
		List<String> seen = new CopyOnWriteArrayList<>();
		int before = this.f.state("p1").path("prefills").asInt();
		Disposable d = this.f.stream(this.other, ServingFixture.card("x", 300, true), Map.of()).subscribe(seen::add);
		ServingFixture.await(() -> seen.size() > 3);
		this.f.kill(this.owner, "owner");
		ServingFixture.await(d::isDisposed);
		assertThat(seen.get(seen.size() - 1)).isEqualTo("data: [DONE]\n\n");
		assertThat(seen.stream().filter((e) -> e.startsWith("id: "))).hasSize(300).doesNotHaveDuplicates();
		assertThat(this.f.state("p1").path("prefills").asInt()).isEqualTo(before + 1);
	}

	/**
	 * The link between two VMs breaks in the middle of an answer, and the owner gives up
	 * the stream. The caller sees an error event, not an answer that looks whole.
	 */
	@Test
	void tellsTheCallerWhenTheLinkBreaks() {
		List<String> seen = new CopyOnWriteArrayList<>();
		Disposable d = this.f.stream(this.other, ServingFixture.card("x", 100_000, true), Map.of())
			.subscribe(seen::add);
		ServingFixture.await(() -> seen.size() > 3);
		this.f.peers.cut("owner");
		ServingFixture.await(d::isDisposed);
		assertThat(seen.get(seen.size() - 1)).startsWith("event: error").contains("outcome_unknown");
	}

	/**
	 * The owner is gone before it answered. It may have run the request, so the caller is
	 * not told that it was not.
	 */
	@Test
	void neverSaysNotRunWhenTheOwnerIsUnreachable() {
		this.f.peers.cut("owner");
		Answer a = this.f.send(this.other, "/v1/completions", ServingFixture.card("Card", 9, false));
		assertThat(a.json().path("outcome").asText()).isEqualTo("outcome_unknown");
	}

}
