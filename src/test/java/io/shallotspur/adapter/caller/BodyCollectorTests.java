package io.shallotspur.adapter.caller;

import org.junit.jupiter.api.Test;

import io.shallotspur.node.RefusedException;
import io.shallotspur.outcome.RefusalCode;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class BodyCollectorTests {

	private static final int LIMIT = 1000;

	private final BodyCollector c = new BodyCollector(LIMIT);

	@Test
	void givesTheWholeBody() throws Exception {
		this.c.declared(LIMIT);
		this.c.add(new byte[600]);
		this.c.add(new byte[400]);
		assertThat(this.c.whole()).hasSize(LIMIT);
	}

	/**
	 * A caller sends somewhat more than is allowed. If the refusal went out while it is
	 * still sending, its system would reset the connection and the caller would see a
	 * broken connection, not the refusal.
	 */
	@Test
	void readsASomewhatTooLargeBodyToItsEndBeforeRefusing() throws Exception {
		this.c.declared(LIMIT + 1);
		this.c.add(new byte[LIMIT]);
		this.c.add(new byte[1]);
		assertThatExceptionOfType(RefusedException.class).isThrownBy(this.c::whole)
			.satisfies((ex) -> assertThat(ex.getRefusal().code()).isEqualTo(RefusalCode.BODY_TOO_LARGE));
	}

	@Test
	void doesNotReadAnEndlessBody() throws Exception {
		long most = LIMIT + BodyCollector.LINGER_BYTES;
		assertThatExceptionOfType(RefusedException.class).isThrownBy(() -> this.c.declared(most + 1));
		this.c.add(new byte[(int) most]);
		assertThatExceptionOfType(RefusedException.class).isThrownBy(() -> this.c.add(new byte[1]));
	}

}
