package io.shallotspur.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import io.shallotspur.adapter.caller.CallerSettings;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Answers outlive the entry VM that relays them, and end with their callers.
 */
class ResumeTests {

	private static final Pattern TOKEN = Pattern.compile("\"shallotspur_resume\":\"([^\"]+)\"");

	private final ServingFixture f = ServingFixture.create();

	private final List<String> seen = new CopyOnWriteArrayList<>();

	private EntryVm owner;

	private EntryVm other;

	@BeforeEach
	void start() {
		this.owner = this.f.owner("owner");
		this.other = this.f.start("other", this.f::selfOwner, CallerSettings.defaults());
		this.f.awaitReady(this.owner);
	}

	@AfterEach
	void stop() {
		this.f.close();
	}

	/**
	 * An entry VM is replaced while a clerk's summary streams through it. The clerk's
	 * program comes to another VM with the last event it saw, and gets exactly the rest;
	 * the file is not read again, and the stream is not swept away under it.
	 */
	@Test
	void anotherVmGivesTheRest() {
		int before = this.f.state("p1").path("prefills").asInt();
		begin(400);
		this.f.kill(this.owner, "owner");
		this.f.takeOver(this.other);
		int n = this.seen.size();
		List<String> rest = new ArrayList<>();
		Map<String, String> h = Map.of("Shallotspur-Resume", token(), "Last-Event-ID", Integer.toString(n - 2));
		this.f.stream(this.other, "{}", h).doOnNext(rest::add).blockLast(ServingFixture.PATIENCE);
		assertThat(rest.get(rest.size() - 1)).isEqualTo("data: [DONE]\n\n");
		assertThat(rest.get(1)).startsWith("id: " + (n - 1) + "\n");
		assertThat(rest.get(rest.size() - 3)).startsWith("id: 399\n");
		assertThat(this.f.state("p1").path("prefills").asInt()).isEqualTo(before + 1);
	}

	/**
	 * An entry VM dies and a caller of it never comes back. Its decode slot is free once
	 * the grace is over.
	 */
	@Test
	void orphansAreCancelled() {
		begin(100_000);
		this.f.kill(this.owner, "owner");
		assertThat(this.f.nothingHeld()).isFalse();
		this.f.takeOver(this.other);
		ServingFixture.await(this.f::nothingHeld);
	}

	@Test
	void refusesForgedToken() {
		begin(10);
		String forged = token().substring(0, token().length() - 4) + "AAAA";
		List<String> events = this.f
			.stream(this.other, "{}", Map.of("Shallotspur-Resume", forged, "Last-Event-ID", "3"))
			.collectList()
			.blockOptional(ServingFixture.PATIENCE)
			.orElseThrow();
		assertThat(String.join("", events)).doesNotContain("data:");
	}

	private void begin(int tokens) {
		Disposable d = this.f.stream(this.owner, ServingFixture.card("x", tokens, true), Map.of())
			.onErrorComplete()
			.subscribe(this.seen::add);
		ServingFixture.await(() -> this.seen.size() > 5 || d.isDisposed());
	}

	private String token() {
		Matcher m = TOKEN.matcher(this.seen.get(0));
		assertThat(m.find()).isTrue();
		return m.group(1);
	}

}
