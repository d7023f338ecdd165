package io.shallotspur.demo;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.Unpooled;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.resources.ConnectionProvider;

import io.shallotspur.standin.StandinPrompt;

/**
 * Sends requests as the clerks' and kiosks' programs do: asks where to, keeps the answer
 * for a while, sends, and sometimes leaves or sends again. Thread-safe.
 */
final class DemoCaller {

	private static final int STALE_OF_100 = 10;

	private static final int BYTES_PER_TOKEN = 4;

	private static final int FIRST_ERROR = 400;

	/**
	 * A caller gives up a connection that says nothing for so long.
	 */
	private static final Duration SILENCE = Duration.ofSeconds(5);

	private static final Duration PAUSE = Duration.ofMillis(300);

	private static final int TRIES = 20;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final DemoTarget target;

	private final ConnectionProvider connections = ConnectionProvider.builder("demo").maxConnections(2000).build();

	private final HttpClient client = HttpClient.create(this.connections).disableRetry(true);

	private final Map<String, Located> located = new ConcurrentHashMap<>();

	DemoCaller(DemoTarget target) {
		this.target = target;
	}

	void close() {
		this.connections.dispose();
	}

	/**
	 * Sends one request and counts what its caller sees.
	 * @param c the class
	 * @param number the number of the request within its class
	 * @param random draws what the caller does
	 * @param stats takes the result
	 * @return completes when the request has ended for its caller; never fails
	 */
	Mono<Void> send(DemoClass c, int number, Random random, DemoStats stats) {
		stats.sent();
		boolean leaves = random.nextInt(100) < c.leaves();
		long leavesAfter = 1 + random.nextInt(400);
		boolean resends = random.nextInt(100) < c.resends();
		int stale = (random.nextInt(100) < STALE_OF_100) ? random.nextInt(this.target.callers().size()) : -1;
		Mono<Void> m = address(c, stale)
			.flatMap((a) -> c.isModel() ? model(c, number, a, stats) : plain(c, number, a, resends, stats));
		if (!leaves) {
			return m.onErrorResume((ex) -> Mono.fromRunnable(() -> lost(c, number, ex, stats)));
		}
		return m.timeout(Duration.ofMillis(leavesAfter)).onErrorResume((ex) -> Mono.fromRunnable(stats::left));
	}

	// What a caller saw last is all that is left of a lost request: without it nobody
	// could tell a VM that gave no answer from a caller that only asked VMs that were
	// down.
	private static void lost(DemoClass c, int number, Throwable ex, DemoStats stats) {
		Logger.warn("[caller] Request {} of {}/{} got no answer: {}", number, c.customer(), c.terms().name(),
				ex.toString());
		stats.lost();
	}

	private Mono<String> address(DemoClass c, int stale) {
		if (stale >= 0) {
			return Mono.just(this.target.callers().get(stale));
		}
		String key = c.customer() + "/" + c.terms().name();
		Located l = this.located.get(key);
		if (l != null && System.currentTimeMillis() < l.until) {
			return Mono.just(l.address);
		}
		return locate(c, key, TRIES);
	}

	private Mono<String> locate(DemoClass c, String key, int tries) {
		return this.client.responseTimeout(SILENCE)
			.get()
			.uri("http://" + any() + "/v1/locate?customer=" + c.customer() + "&class=" + c.terms().name())
			.responseContent()
			.aggregate()
			.asString()
			.map(DemoCaller::json)
			.filter((n) -> !n.at("/addresses/0").asText().isEmpty())
			.map((n) -> {
				Located x = new Located(n.at("/addresses/0").asText(),
						System.currentTimeMillis() + n.path("ttl_ms").asLong());
				this.located.put(key, x);
				return x.address;
			})
			.switchIfEmpty(Mono.error(() -> new IOException("no address")))
			.onErrorResume((ex) -> (tries <= 1) ? Mono.error(ex)
					: Mono.delay(PAUSE).then(Mono.defer(() -> locate(c, key, tries - 1))));
	}

	private String any() {
		List<String> l = this.target.callers();
		return l.get(ThreadLocalRandom.current().nextInt(l.size()));
	}

	private Mono<Void> model(DemoClass c, int number, String address, DemoStats stats) {
		String prompt = prompt(c, number);
		String body = "{\"prompt\":\"" + prompt + "\",\"max_tokens\":" + c.output() + ",\"stream\":true}";
		DemoAnswer a = new DemoAnswer(System.nanoTime());
		return stream(c, address, body, a, TRIES)
			.then(Mono.fromRunnable(() -> count(c, a, StandinPrompt.answer(prompt, c.output()), stats)));
	}

	// A connection that breaks or falls silent is what a caller sees of an entry VM that
	// died or was stopped. It goes to another one: with its token if it has one, else
	// from the start.
	private Mono<Void> stream(DemoClass c, String address, String body, DemoAnswer a, int tries) {
		return Mono.defer(() -> {
			a.reconnected();
			return resuming(c, address, body, a)
				.response((res, bytes) -> (res.status().code() >= FIRST_ERROR)
						? bytes.aggregate().asString().doOnNext(a::problem)
						: bytes.asString(StandardCharsets.UTF_8).doOnNext(a::take))
				.timeout(SILENCE)
				.then(Mono.defer(() -> (a.isWhole() || a.isRefused()) ? Mono.<Void>empty()
						: Mono.error(new IOException("the answer was cut"))));
		}).onErrorResume((ex) -> {
			if (tries <= 1) {
				return Mono.error(ex);
			}
			this.located.clear();
			if (a.lastId() < 0) {
				a.restarted();
			}
			return Mono.delay(PAUSE).then(Mono.defer(() -> stream(c, any(), body, a, tries - 1)));
		});
	}

	private HttpClient.ResponseReceiver<?> resuming(DemoClass c, String address, String body, DemoAnswer a) {
		HttpClient h = a.resumeToken().isEmpty() ? this.client : this.client.headers((x) -> {
			x.set("Shallotspur-Resume", a.resumeToken());
			if (a.lastId() >= 0) {
				x.set("Last-Event-ID", a.lastId());
			}
		});
		return request(h, c, "", address, "/v1/completions", body);
	}

	private static void count(DemoClass c, DemoAnswer a, String expected, DemoStats stats) {
		if (a.isRefused()) {
			stats.refused(a.isNotRun());
		}
		else if (!a.isWhole()) {
			stats.lost();
		}
		else {
			boolean met = a.ttftMs() <= c.terms().ttftMs() && a.p95GapMs() <= c.terms().tbtMs()
					&& a.totalMs() <= c.terms().deadlineMs();
			stats.answered(a.text().equals(expected), a.ttftMs(), a.gapsMs(), met);
		}
	}

	private Mono<Void> plain(DemoClass c, int number, String address, boolean resends, DemoStats stats) {
		String key = c.terms().repeatable() ? ""
				: System.currentTimeMillis() + "-" + c.customer() + "-" + c.terms().name() + "-" + number;
		Mono<PlainAnswer> once = call(c, key, number, address);
		Mono<List<PlainAnswer>> all = resends ? once.zipWith(once, List::of) : once.map(List::of);
		return all.doOnNext((l) -> count(c, key, l, stats)).then();
	}

	private Mono<PlainAnswer> call(DemoClass c, String key, int number, String address) {
		return Mono.defer(() -> call(c, key, number, address, System.nanoTime(), TRIES));
	}

	private Mono<PlainAnswer> call(DemoClass c, String key, int number, String address, long start, int tries) {
		String path = "/v1/upstreams/" + c.terms().upstream() + "/" + c.terms().name() + "/" + number;
		return request(this.client, c, key, address, path, "{\"n\":" + number + "}")
			.responseSingle((res, b) -> b.asString()
				.defaultIfEmpty("")
				.map((x) -> new PlainAnswer(res.status().code(), x, millisSince(start), tries == TRIES)))
			.timeout(SILENCE)
			.onErrorResume((ex) -> {
				if (tries <= 1) {
					return Mono.error(ex);
				}
				this.located.clear();
				return Mono.delay(PAUSE).then(Mono.defer(() -> call(c, key, number, any(), start, tries - 1)));
			});
	}

	private static void count(DemoClass c, String key, List<PlainAnswer> answers, DemoStats stats) {
		PlainAnswer a = answers.get(0);
		boolean same = answers.stream().allMatch((x) -> x.agreesWith(a));
		if (!same) {
			Logger.warn("[caller] Calls with key {} were answered differently: {}", key, answers);
		}
		boolean refused = a.status >= FIRST_ERROR;
		boolean notRun = refused && json(a.body).path("outcome").asText().equals("not_run");
		if (!key.isEmpty()) {
			// A caller that sent the request again is told of its last call only: the
			// first one may have run on the VM that it lost.
			stats.keyed(key, notRun && same && answers.stream().allMatch(PlainAnswer::first));
		}
		if (refused) {
			stats.refused(notRun);
		}
		else {
			stats.answered(same, a.ms, List.of(), a.ms <= c.terms().ttftMs());
		}
	}

	private static HttpClient.ResponseReceiver<?> request(HttpClient client, DemoClass c, String key, String address,
			String path, String body) {
		return client.headers((h) -> {
			h.set("Authorization", "Bearer " + c.token());
			h.set("Shallotspur-Class", c.terms().name());
			h.set("Content-Type", "application/json");
			if (!key.isEmpty()) {
				h.set("Idempotency-Key", key);
			}
		}).post().uri("http://" + address + path).send(Mono.just(Unpooled.copiedBuffer(body, StandardCharsets.UTF_8)));
	}

	private static String prompt(DemoClass c, int number) {
		String shared = (c.customer() + " ").repeat(c.preamble() * BYTES_PER_TOKEN / (c.customer().length() + 1));
		String own = "case " + number + " ";
		return shared + own.repeat(c.own() * BYTES_PER_TOKEN / own.length());
	}

	private static JsonNode json(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			return MAPPER.createObjectNode();
		}
	}

	private static long millisSince(long nanos) {
		return Duration.ofNanos(System.nanoTime() - nanos).toMillis();
	}

	/**
	 * Where the requests of a class go for a while.
	 *
	 * @param address the address
	 * @param until when it is to be asked for again, in milliseconds
	 */
	private record Located(String address, long until) {

	}

	/**
	 * The answer to a plain call.
	 *
	 * @param status the HTTP status
	 * @param body the body
	 * @param ms how long it took, in milliseconds
	 * @param first whether it answers the first try
	 */
	record PlainAnswer(int status, String body, long ms, boolean first) {

		/**
		 * Tells whether two calls with one key were answered alike. One that is told that
		 * its outcome is not known, because the VM it was sent to died, is told the truth
		 * even if the other call brought the answer.
		 * @param other what the other call was told
		 * @return {@code false} if the two contradict each other
		 */
		boolean agreesWith(PlainAnswer other) {
			return this.body.equals(other.body) || (isUnknown() && other.status < FIRST_ERROR);
		}

		private boolean isUnknown() {
			return this.status >= FIRST_ERROR && json(this.body).path("outcome").asText().equals("outcome_unknown");
		}

	}

}
