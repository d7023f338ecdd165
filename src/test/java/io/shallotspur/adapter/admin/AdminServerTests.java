package io.shallotspur.adapter.admin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.distribution.ContractStore;
import io.shallotspur.testing.FakeKvStore;
import io.shallotspur.testing.FakeKvStore.Fault;

import static org.assertj.core.api.Assertions.assertThat;

class AdminServerTests {

	private static final String TERMS = "{\"customer\":\"lonestar\",\"share\":0.5,\"key_hashes\":[],\"classes\":[{\"name\":\"card\","
			+ "\"upstream\":\"draft-llm\",\"priority\":2,\"ttft_ms\":2000,\"tbt_ms\":53,\"deadline_ms\":9000,\"repeatable\":true}]}";

	private final FakeKvStore kv = new FakeKvStore();

	private final ContractStore store = new ContractStore(this.kv, (ms) -> Mono.empty());

	private final HttpClient client = HttpClient.newHttpClient();

	private boolean ready;

	private final AdminServer server = new AdminServer(new AdminSettings("127.0.0.1", 0, "op-token", 4096, 10_000),
			new AdminSources(this::contracts, this.store::apply, () -> this.ready, () -> "calls_total 1\n"));

	private String url = "";

	@BeforeEach
	void start() {
		this.url = "http://127.0.0.1:" + Objects.requireNonNull(this.server.start().block()).getPort();
	}

	@AfterEach
	void stop() {
		this.server.stop().block();
	}

	@Test
	void contractsAreCreatedChangedListedAndRetired() throws Exception {
		assertThat(send("GET", "/v1/contracts/lonestar", "").statusCode()).isEqualTo(404);
		HttpResponse<String> created = send("PUT", "/v1/contracts/lonestar", TERMS, "If-None-Match", "*");
		assertThat(created.statusCode()).isEqualTo(201);
		assertThat(created.headers().firstValue("ETag")).contains("\"1\"");
		HttpResponse<String> changed = send("PUT", "/v1/contracts/lonestar", TERMS.replace("0.5", "0.6"), "If-Match",
				"\"1\"");
		assertThat(changed.statusCode()).isEqualTo(200);
		HttpResponse<String> got = send("GET", "/v1/contracts/lonestar", "");
		assertThat(got.body()).contains("\"share\":0.6", "\"revision\":2", "\"ttft_ms\":2000");
		assertThat(send("GET", "/v1/contracts", "").body()).startsWith("[{\"customer\":\"lonestar\"");
		assertThat(send("DELETE", "/v1/contracts/lonestar", "", "If-Match", "\"2\"").statusCode()).isEqualTo(200);
		assertThat(send("GET", "/v1/contracts", "").body()).isEqualTo("[]");
	}

	/**
	 * Two operators edit the same contract from the same page. The second must not
	 * overwrite the first without seeing its terms.
	 */
	@Test
	void aRacingOperatorGetsTheCurrentRevision() throws Exception {
		send("PUT", "/v1/contracts/lonestar", TERMS, "If-None-Match", "*");
		send("PUT", "/v1/contracts/lonestar", TERMS.replace("0.5", "0.6"), "If-Match", "\"1\"");
		HttpResponse<String> late = send("PUT", "/v1/contracts/lonestar", TERMS, "If-Match", "\"1\"");
		assertThat(late.statusCode()).isEqualTo(412);
		assertThat(late.headers().firstValue("ETag")).contains("\"2\"");
		assertThat(late.body()).contains("contract-conflict", "not_accepted");
		assertThat(send("PUT", "/v1/contracts/lonestar", TERMS).statusCode()).isEqualTo(428);
	}

	/**
	 * The store loses the answer and stays away, or refuses plainly. An operator reads
	 * from the problem whether the change may be in force.
	 */
	@Test
	void problemsTellWhetherTheChangeMayBeInForce() throws Exception {
		this.kv.failNextWrites(Fault.REFUSED);
		HttpResponse<String> refused = send("PUT", "/v1/contracts/lonestar", TERMS, "If-None-Match", "*");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(refused.body()).contains("store-unavailable", "not_accepted");
		Fault[] all = new Fault[8];
		Arrays.fill(all, Fault.LOST_BEFORE_EFFECT);
		this.kv.failNextWrites(all);
		HttpResponse<String> unknown = send("PUT", "/v1/contracts/lonestar", TERMS, "If-None-Match", "*");
		assertThat(unknown.statusCode()).isEqualTo(504);
		assertThat(unknown.body()).contains("store-unknown", "outcome_unknown");
	}

	@Test
	void badInputIsATypedProblem() throws Exception {
		for (String body : new String[] { "", "{", "[]", "null", TERMS + "x", TERMS.replace("share", "shares"),
				TERMS.replace("lonestar", "other"), "x".repeat(5000) }) {
			HttpResponse<String> r = send("PUT", "/v1/contracts/lonestar", body, "If-None-Match", "*");
			assertThat(r.statusCode()).as(body).isEqualTo(422);
			assertThat(r.body()).contains("contract-invalid", "not_accepted");
		}
		assertThat(send("PUT", "/v1/contracts/lonestar", TERMS, "If-Match", "abc").statusCode()).isEqualTo(422);
		assertThat(this.kv.writes()).isZero();
	}

	@Test
	void onlyHealthIsOpenToEveryone() throws Exception {
		assertThat(plain("/healthz")).isEqualTo(200);
		assertThat(plain("/readyz")).isEqualTo(503);
		this.ready = true;
		assertThat(plain("/readyz")).isEqualTo(200);
		assertThat(plain("/metrics")).isEqualTo(401);
		assertThat(plain("/v1/contracts")).isEqualTo(401);
		assertThat(send("GET", "/metrics", "").body()).isEqualTo("calls_total 1\n");
	}

	private ContractSet contracts() {
		return ContractSet.of(this.store.list("").toFuture().getNow(List.of()));
	}

	private int plain(String path) throws Exception {
		return this.client
			.send(HttpRequest.newBuilder(URI.create(this.url + path)).build(), HttpResponse.BodyHandlers.discarding())
			.statusCode();
	}

	private HttpResponse<String> send(String method, String path, String body, String... headers) throws Exception {
		HttpRequest.Builder b = HttpRequest.newBuilder(URI.create(this.url + path))
			.method(method, HttpRequest.BodyPublishers.ofString(body))
			.header("Authorization", "Bearer op-token");
		if (headers.length == 2) {
			b.header(headers[0], headers[1]);
		}
		return this.client.send(b.build(), HttpResponse.BodyHandlers.ofString());
	}

}
