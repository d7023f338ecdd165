package io.shallotspur.platform;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

import io.shallotspur.gateway.HeaderField;

/**
 * Tests of which header fields are handed on.
 */
class NamesTests {

	// The sender names a field of its own connection. Handed on, it would be taken for
	// one of the next connection.
	@Test
	void keepsBackWhatTheSenderNamesForItsConnection() {
		HttpHeaders h = new DefaultHttpHeaders().add("Connection", "close, X-Own")
			.add("Connection", "x-second")
			.add("x-own", "1")
			.add("X-Second", "2")
			.add("X-Kept", "3")
			.add("x-kept", "4");
		Assertions.assertThat(Names.relayed(h))
			.containsExactly(new HeaderField("X-Kept", "3"), new HeaderField("x-kept", "4"));
	}

	// Set by a caller, these would give it another request's memory or rank.
	@Test
	void keepsBackWhatOnlyTheSystemMaySet() {
		HttpHeaders h = new DefaultHttpHeaders().add(Names.KV_SOURCE, "a")
			.add("x-hold", "h")
			.add(Names.PRIORITY, "0")
			.add("X-Model", "m");
		Assertions.assertThat(Names.relayed(h)).containsExactly(new HeaderField("X-Model", "m"));
	}

}
