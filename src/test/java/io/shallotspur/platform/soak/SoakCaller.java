package io.shallotspur.platform.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A caller: asks which addresses to use, keeps the answer for a while and its connections
 * until they are closed, and sends one request after the other. Runs on a thread of its
 * own.
 */
final class SoakCaller implements Runnable {

	private static final Duration LIMIT = Duration.ofSeconds(12);

	private static final Duration ASK_LIMIT = Duration.ofSeconds(1);

	private static final ObjectMapper JSON = new ObjectMapper();

	private final int number;

	private final Random random;

	private final List<VmProcess> vms;

	private final Evidence evidence;

	private final SoakKeys keys;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(ASK_LIMIT)
		.build();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger asked = new AtomicInteger();

	private List<String> addresses = List.of();

	private long keepUntil;

	private volatile boolean stopped;

	SoakCaller(int number, long seed, List<VmProcess> vms, Evidence evidence, SoakKeys keys) {
		this.number = number;
		this.random = new Random(seed * 31 + number);
		this.vms = vms;
		this.evidence = evidence;
		this.keys = keys;
	}

	int served() {
		return this.served.get();
	}

	void stop() {
		this.stopped = true;
	}

	@Override
	public void run() {
		while (!this.stopped) {
			try {
				locate();
				if (!this.addresses.isEmpty()) {
					send();
				}
				Thread.sleep(5 + this.random.nextInt(40));
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void locate() throws InterruptedException {
		if (System.nanoTime() < this.keepUntil) {
			return;
		}
		int vm = this.random.nextInt(this.vms.size());
		String uri = "http://127.0.0.1:" + this.vms.get(vm).locatePort()
				+ "/api/resolution?name=soak&region=r&zone=hall-" + this.number % 2;
		try {
			HttpRequest q = HttpRequest.newBuilder(URI.create(uri)).timeout(ASK_LIMIT).build();
			HttpResponse<String> r = this.client.send(q, HttpResponse.BodyHandlers.ofString());
			if (r.statusCode() == 200) {
				JsonNode n = JSON.readTree(r.body());
				List<String> l = new ArrayList<>();
				n.path("addresses").forEach((a) -> l.add(a.asText()));
				this.addresses = l;
				this.keepUntil = System.nanoTime() + (long) (n.path("ttl_s").asDouble() * 1e9);
			}
		}
		catch (IOException ex) {
			// This VM is down: what is known is kept until another one answers.
			Thread.sleep(20);
		}
	}

	private void send() throws InterruptedException {
		Evidence.Kind[] kinds = Evidence.Kind.values();
		Evidence.Kind kind = kinds[this.random.nextInt(kinds.length)];
		String id = "c" + this.number + "-" + this.asked.incrementAndGet();
		String key = this.keys.pick(this.random);
		this.evidence.sent(id, kind, key, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		String vm = pick();
		this.evidence.sentTo(id, vm);
		HttpRequest.Builder q = HttpRequest.newBuilder(URI.create("http://" + vm + "/" + kind.path + "/x"))
			.timeout(LIMIT)
			.header("X-Request-Id", id)
			.header("Authorization", "Bearer " + key)
			.header("X-Deadline-Ms", kind.stream ? "8000" : "1500")
			.POST(HttpRequest.BodyPublishers.ofString("body of " + id));
		if (kind.stream) {
			q.header("X-Token-Count", "900,100").header("X-Length-Hint", "60").header("X-Prompt-Prefix", "a:900");
		}
		try {
			HttpResponse<String> r = this.client.send(q.build(), HttpResponse.BodyHandlers.ofString());
			this.evidence.answered(id, r.statusCode(), r.body());
			if (r.statusCode() == 200) {
				this.served.incrementAndGet();
			}
		}
		catch (IOException ex) {
			// Broken off or nobody there: that promises nothing, so there is nothing to
			// check.
			this.keepUntil = 0;
		}
	}

	private String pick() {
		return this.addresses.get(this.random.nextInt(this.addresses.size()));
	}

}
