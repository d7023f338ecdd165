package io.shallotspur.node;

import java.util.Map;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import io.shallotspur.adapter.caller.CallerSettings;
import io.shallotspur.node.ServingFixture.Answer;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Requests that cannot be served are told why, and leave nothing behind.
 */
class BadInputTests {

	private static final int MAX_BODY = 2000;

	private final ServingFixture f = ServingFixture.create();

	private EntryVm vm;

	@BeforeEach
	void start() {
		this.vm = this.f.owner("vm-1", new CallerSettings.Builder().maxBodyBytes(MAX_BODY).build());
		this.f.awaitReady(this.vm);
	}

	@AfterEach
	void stop() {
		ServingFixture.await(this.f::nothingHeld);
		this.f.close();
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			value = { "registration-card|{\"prompt\":|400|malformed-request",
					"registration-card|[1]|400|malformed-request", "registration-card|{}|400|malformed-request",
					"registration-card|{\"messages\":[{\"role\":1}]}|400|malformed-request",
					"registration-card|{\"prompt\":\"x\",\"max_tokens\":-1}|400|malformed-request",
					"no-such-class|{\"prompt\":\"x\"}|404|unknown-class", "orphan|{\"prompt\":\"x\"}|503|no-worker" })
	void namesWhatIsWrong(String className, String body, int status, String code) {
		check(this.f.send(this.vm, HttpMethod.POST, "/v1/completions", body, Map.of("Shallotspur-Class", className)),
				status, code);
	}

	@Test
	void refusesUnknownCaller() {
		check(this.f.send(this.vm, HttpMethod.POST, "/v1/completions", ServingFixture.card("x", 1, true),
				Map.of("Authorization", "Bearer guess", "Shallotspur-Class", "registration-card")), 401,
				"unauthorized");
		check(this.f.send(this.vm, HttpMethod.GET, "/v1/locate?customer=nobody&class=x", "", Map.of()), 404,
				"unknown-customer");
	}

	@Test
	void refusesLargeBodyWhetherDeclaredOrNot() {
		check(this.f.send(this.vm, "/v1/completions", ServingFixture.card("x".repeat(MAX_BODY), 1, false)), 413,
				"body-too-large");
		check(this.f.sendChunked(this.vm, ServingFixture.card("x".repeat(MAX_BODY), 1, false)), 413, "body-too-large");
	}

	@Test
	void refusesBadHeadersAndPaths() {
		Map<String, String> h = Map.of("Shallotspur-Class", "registration-card", "Shallotspur-Deadline-Ms", "soon");
		check(this.f.send(this.vm, HttpMethod.POST, "/v1/completions", ServingFixture.card("x", 1, false), h), 400,
				"malformed-request");
		check(this.f.send(this.vm, HttpMethod.GET, "/v2/nothing", "", Map.of()), 400, "malformed-request");
		Map<String, String> key = Map.of("Shallotspur-Class", "key-encoding", "Idempotency-Key", "k");
		check(this.f.send(this.vm, HttpMethod.POST, "/v1/upstreams/other/keys", "{}", key), 404, "unknown-upstream");
	}

	/**
	 * A kiosk asks for a key without an Idempotency-Key, or uses one twice for two rooms.
	 * Served as it stands, a resend would make a second live key.
	 */
	@Test
	void refusesKeysThatCannotProtect() {
		Map<String, String> none = Map.of("Shallotspur-Class", "key-encoding");
		check(this.f.send(this.vm, HttpMethod.POST, "/v1/upstreams/kiosk-api/keys", "{}", none), 400, "key-required");
		assertThat(this.f.plain.runs()).isEmpty();
	}

	/**
	 * The platform's store is down, so the intent to run a key request cannot be written.
	 * The kiosk is told "not run", and no key is made.
	 */
	@Test
	void runsNothingWithoutItsIntent() {
		this.f.ledger.down = Refusal.notRun(RefusalCode.STORE_UNAVAILABLE, "The store is down.", 1500);
		Map<String, String> h = Map.of("Shallotspur-Class", "key-encoding", "Idempotency-Key", "k1");
		Answer a = this.f.send(this.vm, HttpMethod.POST, "/v1/upstreams/kiosk-api/keys", "{}", h);
		check(a, 503, "store-unavailable");
		assertThat(a.headers().get("Retry-After")).isEqualTo("2");
		assertThat(this.f.plain.runs()).isEmpty();
	}

	private static void check(Answer a, int status, String code) {
		assertThat(a.status()).as(a.body()).isEqualTo(status);
		assertThat(a.headers().get("Content-Type")).isEqualTo("application/problem+json");
		assertThat(a.json().path("type").asText()).isEqualTo("urn:shallotspur:problem:" + code);
		assertThat(a.json().path("outcome").asText()).isEqualTo("not_run");
	}

}
