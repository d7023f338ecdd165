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

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The addresses of the VMs as one caller knows them: it asks any VM and caches the
 * response for its time to live. Used by one thread.
 */
final class VmAddresses {

	private static final Duration LOCATE_TIMEOUT = Duration.ofSeconds(1);

	private static final ObjectMapper JSON = new ObjectMapper();

	private final int caller;

	private final Random random;

	private final List<VmProcess> vms;

	private final HttpClient client;

	private List<String> addresses = List.of();

	private long expiresAt;

	VmAddresses(int caller, Random random, List<VmProcess> vms, HttpClient client) {
		this.caller = caller;
		this.random = random;
		this.vms = vms;
		this.client = client;
	}

	static HttpClient newClient() {
		return HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(LOCATE_TIMEOUT).build();
	}

	/**
	 * Asks a VM again if the known addresses have expired.
	 * @return whether any address is known
	 */
	boolean refresh() throws InterruptedException {
		if (System.nanoTime() >= this.expiresAt) {
			locate();
		}
		return !this.addresses.isEmpty();
	}

	private void locate() throws InterruptedException {
		int vm = this.random.nextInt(this.vms.size());
		String uri = "http://127.0.0.1:" + this.vms.get(vm).locatePort()
				+ "/api/resolution?name=soak&region=r&zone=hall-" + this.caller % 2;
		try {
			HttpRequest request = HttpRequest.newBuilder(URI.create(uri)).timeout(LOCATE_TIMEOUT).build();
			HttpResponse<String> r = this.client.send(request, HttpResponse.BodyHandlers.ofString());
			if (r.statusCode() == 200) {
				JsonNode n = JSON.readTree(r.body());
				List<String> resolved = new ArrayList<>();
				n.path("addresses").forEach((a) -> resolved.add(a.asText()));
				this.addresses = resolved;
				this.expiresAt = System.nanoTime() + (long) (n.path("ttl_s").asDouble() * 1e9);
			}
		}
		catch (IOException ex) {
			// The VM is down. The cached addresses stay in use until another VM responds.
			Thread.sleep(20);
		}
	}

	String choose() {
		return this.addresses.get(this.random.nextInt(this.addresses.size()));
	}

	/** Makes the caller ask again, as an address has failed it. */
	void expire() {
		this.expiresAt = 0;
	}

}
