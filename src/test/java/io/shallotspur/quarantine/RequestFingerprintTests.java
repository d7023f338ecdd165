package io.shallotspur.quarantine;

import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

class RequestFingerprintTests {

	private static final byte[] BODY = "a body".getBytes(StandardCharsets.UTF_8);

	private static final long FINGERPRINT = RequestFingerprint.of("acme", "POST", "shop.example", "/x", BODY);

	@Test
	void sameRequestHasTheSameFingerprint() {
		Assertions.assertThat(RequestFingerprint.of("acme", "POST", "shop.example", "/x", BODY.clone()))
			.isEqualTo(FINGERPRINT);
	}

	// Guards against refusing one caller's request for another one that crashes workers.
	@Test
	void eachFieldDistinguishesRequests() {
		Assertions
			.assertThat(Stream.of(RequestFingerprint.of("other", "POST", "shop.example", "/x", BODY),
					RequestFingerprint.of(null, "POST", "shop.example", "/x", BODY),
					RequestFingerprint.of("acme", "GET", "shop.example", "/x", BODY),
					RequestFingerprint.of("acme", "POST", "shop", "/x", BODY),
					RequestFingerprint.of("acme", "POST", "shop.example", "/x?y=1", BODY),
					RequestFingerprint.of("acme", "POST", "shop.example", "/x", new byte[0]), FINGERPRINT))
			.doesNotHaveDuplicates();
	}

	@Test
	void boundariesBetweenFieldsCount() {
		Assertions.assertThat(RequestFingerprint.of("ab", "c", "h", "/", BODY))
			.isNotEqualTo(RequestFingerprint.of("a", "bc", "h", "/", BODY));
	}

}
