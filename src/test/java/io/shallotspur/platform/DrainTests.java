package io.shallotspur.platform;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * End-to-end tests of a VM that was told to stop.
 */
class DrainTests extends EndToEndFixture {

	private static final long GRACE_MS = 8_000;

	// Guards against a VM that is killed while it serves, since it was told to stop while
	// it started and counts its grace period from the end of the start.
	@Test
	void theGracePeriodRunsFromTheSignal() {
		this.p1.nextBehaviours.add(this.p1::noResponse);
		this.p2.nextBehaviours.add(this.p2::noResponse);
		CompletableFuture<HttpResponse<String>> c = this.client.sendAsync(request("/safe/x").build(),
				HttpResponse.BodyHandlers.ofString());
		await(() -> this.p1.receivedRequests.size() + this.p2.receivedRequests.size() == 1);
		this.vm.drain(PlatformVm.nowMs() - GRACE_MS);
		Assertions.assertThat(c.join().statusCode()).isEqualTo(504);
		Assertions.assertThat(c.join().body()).isEqualTo("leaving");
	}

}
