package io.shallotspur.node;

import java.util.Map;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

import io.shallotspur.node.ServingFixture.Answer;
import io.shallotspur.standin.PlainStandin.Fault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Key encodings run once at most, whatever breaks around them.
 */
class AtMostOnceTests {

	private static final String PATH = "/v1/upstreams/kiosk-api/keys";

	private final ServingFixture f = ServingFixture.create();

	private EntryVm vm;

	@BeforeEach
	void start() {
		this.vm = this.f.owner("vm-1");
	}

	@AfterEach
	void stop() {
		ServingFixture.await(this.f::nothingHeld);
		this.f.close();
	}

	/**
	 * The key encoder makes the key and dies before it answers. The kiosk cannot know
	 * whether there is a key; told "not run" it would make a second one.
	 */
	@Test
	void tellsUnknownWhenAnswerIsLost() {
		this.f.plain.setFault(Fault.CLOSE_AFTER);
		Answer a = encode("k1");
		assertThat(a.status()).isEqualTo(502);
		assertThat(a.json().path("outcome").asText()).isEqualTo("outcome_unknown");
		this.f.plain.setFault(Fault.NONE);
		assertThat(encode("k1").json().path("outcome").asText()).isEqualTo("outcome_unknown");
		assertThat(this.f.plain.runs().get("k1")).hasValue(1);
		assertThat(this.f.ledger.calls).containsExactly("begin k1", "unknown k1", "begin k1");
	}

	/**
	 * The key encoder refuses all calls. The kiosk is told "not run", and may send the
	 * same key again when the encoder is back.
	 */
	@Test
	void resendRunsWhatWasNotRun() {
		this.f.plain.setFault(Fault.REFUSE);
		Answer a = encode("k2");
		assertThat(a.json().path("outcome").asText()).isEqualTo("not_run");
		this.f.plain.setFault(Fault.NONE);
		assertThat(encode("k2").status()).isEqualTo(200);
		assertThat(this.f.plain.runs().get("k2")).hasValue(1);
		assertThat(this.f.ledger.calls).containsExactly("begin k2", "notRun k2", "begin k2", "answered k2");
	}

	/**
	 * A kiosk sends a key request, hears nothing, and sends it again while the first is
	 * still running. Both get the one answer.
	 */
	@Test
	void resendJoinsTheOneInFlight() {
		this.f.plain.setStall(200);
		Mono<Answer> one = encodeLater("k3");
		Mono<Answer> two = encodeLater("k3");
		var both = Mono.zip(one, two).blockOptional(ServingFixture.PATIENCE).orElseThrow();
		assertThat(both.getT1().body()).isEqualTo(both.getT2().body()).contains("\"run\":1");
		assertThat(this.f.plain.runs().get("k3")).hasValue(1);
		assertThat(this.f.ledger.calls).containsExactly("begin k3", "answered k3");
	}

	/**
	 * A guest's kiosk reboots right after it asked for a key. The call is not cut off, so
	 * that the kiosk gets the same key when it asks again.
	 */
	@Test
	void recordsAnswerOfCallerWhoLeft() {
		this.f.plain.setStall(300);
		Disposable kiosk = encodeLater("k4").subscribe();
		ServingFixture.await(() -> this.f.plain.active() == 1);
		kiosk.dispose();
		ServingFixture.await(() -> this.f.ledger.calls.contains("answered k4"));
		assertThat(encode("k4").json().path("run").asInt()).isEqualTo(1);
		assertThat(this.f.plain.runs().get("k4")).hasValue(1);
	}

	private Answer encode(String key) {
		return encodeLater(key).blockOptional(ServingFixture.PATIENCE).orElseThrow();
	}

	private Mono<Answer> encodeLater(String key) {
		Map<String, String> h = Map.of("Shallotspur-Class", "key-encoding", "Idempotency-Key", key);
		return this.f.sendLater(this.vm, HttpMethod.POST, PATH, "{\"room\":7}", h);
	}

}
