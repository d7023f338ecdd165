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
 * A caller that resolves the addresses of the VMs, caches them for their time to live,
 * reuses its connections and sends requests one after the other. Runs on a thread of its
 * own.
 */
final class SoakCaller implements Runnable {

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(12);

	private static final Duration LOCATE_TIMEOUT = Duration.ofSeconds(1);

	private static final ObjectMapper JSON = new ObjectMapper();

	private final int number;

	private final Random random;

	private final List<VmProcess> vms;

	private final InvariantChecker checker;

	private final SoakKeys keys;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(LOCATE_TIMEOUT)
		.build();

	private final AtomicInteger successCount = new AtomicInteger();

	private final AtomicInteger requestCount = new AtomicInteger();

	private List<String> addresses = List.of();

	private long addressesExpireAt;

	private volatile boolean stopped;

	SoakCaller(int number, long seed, List<VmProcess> vms, InvariantChecker checker, SoakKeys keys) {
		this.number = number;
		this.random = new Random(seed * 31 + number);
		this.vms = vms;
		this.checker = checker;
		this.keys = keys;
	}

	int successCount() {
		return this.successCount.get();
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
		if (System.nanoTime() < this.addressesExpireAt) {
			return;
		}
		int vm = this.random.nextInt(this.vms.size());
		String uri = "http://127.0.0.1:" + this.vms.get(vm).locatePort()
				+ "/api/resolution?name=soak&region=r&zone=hall-" + this.number % 2;
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(LOCATE_TIMEOUT).build();
			HttpResponse<String> r = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (r.statusCode() == 200) {
				JsonNode n = JSON.readTree(r.body());
				List<String> resolved = new ArrayList<>();
				n.path("addresses").forEach((a) -> resolved.add(a.asText()));
				this.addresses = resolved;
				this.addressesExpireAt = System.nanoTime() + (long) (n.path("ttl_s").asDouble() * 1e9);
			}
		}
		catch (IOException ex) {
			// The VM is down. The cached addresses stay in use until another VM responds.
			Thread.sleep(20);
		}
	}

	private void send() throws InterruptedException {
		InvariantChecker.RequestKind[] kinds = InvariantChecker.RequestKind.values();
		InvariantChecker.RequestKind kind = kinds[this.random.nextInt(kinds.length)];
		String id = "c" + this.number + "-" + this.requestCount.incrementAndGet();
		String key = this.keys.chooseKey(this.random);
		this.checker.onRequestSent(id, kind, key, TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
		String vm = chooseAddress();
		this.checker.onVmChosen(id, vm);
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + vm + "/" + kind.route + "/x"))
			.timeout(REQUEST_TIMEOUT)
			.header("X-Request-Id", id)
			.header("Authorization", "Bearer " + key)
			.header("X-Deadline-Ms", kind.stream ? "8000" : "1500")
			.POST(HttpRequest.BodyPublishers.ofString("body of " + id));
		if (kind.stream) {
			request.header("X-Token-Count", "900,100").header("X-Length-Hint", "60").header("X-Prompt-Prefix", "a:900");
		}
		try {
			HttpResponse<String> r = this.client.send(request.build(), HttpResponse.BodyHandlers.ofString());
			this.checker.onResponse(id, r.statusCode(), r.body());
			r.headers()
				.firstValue("Server-Leaving")
				.flatMap((v) -> r.headers().firstValue("X-Server-Stamp"))
				.ifPresent((stamp) -> this.checker.onLeavingPassedOn(id, stamp.substring("stamp-".length()),
						InvariantChecker.nowMs()));
			this.checker.onEnded(id, r.statusCode() == 200);
			if (r.statusCode() == 200) {
				this.successCount.incrementAndGet();
			}
		}
		catch (IOException ex) {
			// The connection failed or was closed early. No invariant applies to a
			// request without a complete response.
			this.addressesExpireAt = 0;
			this.checker.onEnded(id, false);
		}
	}

	private String chooseAddress() {
		return this.addresses.get(this.random.nextInt(this.addresses.size()));
	}

}
