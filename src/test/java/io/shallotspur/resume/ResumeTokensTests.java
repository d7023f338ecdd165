package io.shallotspur.resume;

import java.util.Arrays;
import java.util.List;

import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ResumeTokensTests {

	private static final ResumeKey OLD = new ResumeKey("2026-11", key(1));

	private static final ResumeKey NEW = new ResumeKey("2026-12", key(2));

	private static final ResumeClaims CLAIM = new ResumeClaims("lonestar", "draft-3",
			new StreamId("10.0.0.1:7100", 3, 99).toString(), 40, 7);

	private final ResumeTokens tokens = new ResumeTokens(List.of(OLD), 60_000);

	@Test
	void tokenComesBackWhole() throws ResumeException {
		String t = this.tokens.issue(CLAIM, 1_000);
		assertThat(t).matches("[A-Za-z0-9_.-]+");
		assertThat(this.tokens.verify(t, "lonestar", 60_999)).isEqualTo(CLAIM);
		assertThat(StreamId.parse(CLAIM.streamId())).contains(new StreamId("10.0.0.1:7100", 3, 99));
		assertThat(StreamId.parse("other-program")).isEmpty();
	}

	@Test
	void forgedForeignAndOldTokensAreRefused() {
		// Somebody who guesses or alters a token would read another caller's answer.
		String t = this.tokens.issue(CLAIM, 1_000);
		assertFault(ResumeFault.EXPIRED, () -> this.tokens.verify(t, "lonestar", 61_000));
		assertFault(ResumeFault.OTHER_CUSTOMER, () -> this.tokens.verify(t, "bilhete", 2_000));
		assertFault(ResumeFault.MALFORMED, () -> this.tokens.verify("x", "lonestar", 2_000));
		assertFault(ResumeFault.MALFORMED, () -> this.tokens.verify("x.y".repeat(2_000), "lonestar", 2_000));
		ResumeTokens other = new ResumeTokens(List.of(new ResumeKey(OLD.id(), key(9))), 60_000);
		assertFault(ResumeFault.FORGED, () -> this.tokens.verify(other.issue(CLAIM, 1_000), "lonestar", 2_000));
	}

	@Test
	void anyAlteredCharacterIsRefused() {
		String t = this.tokens.issue(CLAIM, 1_000);
		for (int i = 0; i < t.length() - 1; i++) {
			char c = (t.charAt(i) == 'A') ? 'B' : 'A';
			String altered = t.substring(0, i) + c + t.substring(i + 1);
			assertThatThrownBy(() -> this.tokens.verify(altered, "lonestar", 2_000))
				.isInstanceOf(ResumeException.class);
		}
	}

	@Test
	void keysRotateWithoutCuttingStreams() throws ResumeException {
		String t = this.tokens.issue(CLAIM, 1_000);
		ResumeTokens both = new ResumeTokens(List.of(NEW, OLD), 60_000);
		assertThat(both.verify(t, "lonestar", 2_000)).isEqualTo(CLAIM);
		String fresh = both.issue(CLAIM, 1_000);
		assertFault(ResumeFault.UNKNOWN_KEY, () -> this.tokens.verify(fresh, "lonestar", 2_000));
		ResumeTokens after = new ResumeTokens(List.of(NEW), 60_000);
		assertThat(after.verify(fresh, "lonestar", 2_000)).isEqualTo(CLAIM);
		assertFault(ResumeFault.UNKNOWN_KEY, () -> after.verify(t, "lonestar", 2_000));
	}

	private static void assertFault(ResumeFault f, ThrowingCallable call) {
		assertThatExceptionOfType(ResumeException.class).isThrownBy(call)
			.satisfies((ex) -> assertThat(ex.getFault()).isEqualTo(f));
	}

	private static byte[] key(int fill) {
		byte[] b = new byte[ResumeKey.MIN_SECRET_BYTES];
		Arrays.fill(b, (byte) fill);
		return b;
	}

}
