package io.shallotspur.gateway;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link StreamOrigins}.
 */
class StreamOriginsTests {

	private static final long NOW = 1_000;

	private static final StreamOrigin V1 = new StreamOrigin("llm", "v1");

	private static final StreamOrigin V2 = new StreamOrigin("llm", "v2");

	private final StreamOrigins origins = new StreamOrigins();

	private void add(String request, StreamOrigin origin) {
		this.origins.add(new KnownOrigin(request, origin, 500), NOW);
	}

	@Test
	void findsAStreamUntilItExpires() {
		add("a", V1);
		Assertions.assertThat(this.origins.find("a", NOW + 499)).contains(V1);
		Assertions.assertThat(this.origins.find("a", NOW + 500)).isEmpty();
		Assertions.assertThat(this.origins.find("b", NOW)).isEmpty();
	}

	// Guards against a stream that goes on at the version of another stream with the same
	// id.
	@Test
	void knowsNothingOfAnIdThatStreamsOfTwoVersionsHave() {
		add("a", V1);
		add("a", V2);
		add("a", V1);
		Assertions.assertThat(this.origins.find("a", NOW)).isEmpty();
	}

	// Guards against a stream that cannot be resumed a second time.
	@Test
	void findsAStreamThatIsToldAgain() {
		add("a", V1);
		this.origins.add(new KnownOrigin("a", V1, 800), NOW);
		Assertions.assertThat(this.origins.find("a", NOW + 700)).contains(V1);
	}

	// Guards against memory that grows with the number of streams.
	@Test
	void forgetsTheEldestStreams() {
		for (int i = 0; i <= StreamOrigins.MAX_STREAMS; i++) {
			add("s" + i, V1);
		}
		Assertions.assertThat(this.origins.size()).isEqualTo(StreamOrigins.MAX_STREAMS);
		Assertions.assertThat(this.origins.find("s0", NOW)).isEmpty();
		Assertions.assertThat(this.origins.find("s1", NOW)).contains(V1);
	}

	// Guards against memory that callers fill with long ids.
	@Test
	void doesNotKeepLongIds() {
		add("x".repeat(1_000), V1);
		Assertions.assertThat(this.origins.size()).isZero();
	}

	@Test
	void tellsOfOwnStreamsOnce() {
		this.origins.addOwn(new KnownOrigin("a", V1, 500), false, NOW);
		this.origins.addOwn(new KnownOrigin("b", V1, 500), true, NOW);
		add("c", V1);
		Assertions.assertThat(this.origins.takeUnshared("llm", NOW + 100))
			.containsExactly(new KnownOrigin("a", V1, 400));
		Assertions.assertThat(this.origins.takeUnshared("llm", NOW + 100)).isEmpty();
	}

}
