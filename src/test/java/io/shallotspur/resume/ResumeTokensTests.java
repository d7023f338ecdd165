package io.shallotspur.resume;

import java.util.Arrays;
import java.util.List;

import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ResumeTokensTests {

	private static final ResumeKey OLD_KEY = new ResumeKey("2026-11", secretOf(1));

	private static final ResumeKey NEW_KEY = new ResumeKey("2026-12", secretOf(2));

	private static final ResumeClaims CLAIMS = new ResumeClaims("lonestar", "draft-3",
			new StreamId("10.0.0.1:7100", 3, 99).toString(), 40, 7);

	private final ResumeTokens tokens = new ResumeTokens(List.of(OLD_KEY), 60_000);

	@Test
	void issuedTokenVerifiesToSameClaims() throws ResumeException {
		String token = this.tokens.issue(CLAIMS, 1_000);
		assertThat(token).matches("[A-Za-z0-9_.-]+");
		assertThat(this.tokens.verify(token, "lonestar", 60_999)).isEqualTo(CLAIMS);
		assertThat(StreamId.parse(CLAIMS.streamId())).contains(new StreamId("10.0.0.1:7100", 3, 99));
		assertThat(StreamId.parse("other-program")).isEmpty();
	}

	@Test
	void refusesForgedExpiredAndOtherCustomersTokens() {
		// Guards against a caller reading the answer of another caller with a guessed,
		// altered or stolen token.
		String token = this.tokens.issue(CLAIMS, 1_000);
		assertFault(ResumeFault.EXPIRED, () -> this.tokens.verify(token, "lonestar", 61_000));
		assertFault(ResumeFault.OTHER_CUSTOMER, () -> this.tokens.verify(token, "bilhete", 2_000));
		assertFault(ResumeFault.MALFORMED, () -> this.tokens.verify("x", "lonestar", 2_000));
		assertFault(ResumeFault.MALFORMED, () -> this.tokens.verify("x.y".repeat(2_000), "lonestar", 2_000));
		ResumeTokens forger = new ResumeTokens(List.of(new ResumeKey(OLD_KEY.id(), secretOf(9))), 60_000);
		assertFault(ResumeFault.FORGED, () -> this.tokens.verify(forger.issue(CLAIMS, 1_000), "lonestar", 2_000));
	}

	@Test
	void refusesTokenWithAnyAlteredCharacter() {
		String token = this.tokens.issue(CLAIMS, 1_000);
		for (int i = 0; i < token.length() - 1; i++) {
			char c = (token.charAt(i) == 'A') ? 'B' : 'A';
			String altered = token.substring(0, i) + c + token.substring(i + 1);
			assertThatThrownBy(() -> this.tokens.verify(altered, "lonestar", 2_000))
				.isInstanceOf(ResumeException.class);
		}
	}

	@Test
	void keyRotationKeepsIssuedTokensValid() throws ResumeException {
		String token = this.tokens.issue(CLAIMS, 1_000);
		ResumeTokens withBothKeys = new ResumeTokens(List.of(NEW_KEY, OLD_KEY), 60_000);
		assertThat(withBothKeys.verify(token, "lonestar", 2_000)).isEqualTo(CLAIMS);
		String newToken = withBothKeys.issue(CLAIMS, 1_000);
		assertFault(ResumeFault.UNKNOWN_KEY, () -> this.tokens.verify(newToken, "lonestar", 2_000));
		ResumeTokens withNewKey = new ResumeTokens(List.of(NEW_KEY), 60_000);
		assertThat(withNewKey.verify(newToken, "lonestar", 2_000)).isEqualTo(CLAIMS);
		assertFault(ResumeFault.UNKNOWN_KEY, () -> withNewKey.verify(token, "lonestar", 2_000));
	}

	private static void assertFault(ResumeFault fault, ThrowingCallable call) {
		assertThatExceptionOfType(ResumeException.class).isThrownBy(call)
			.satisfies((ex) -> assertThat(ex.getFault()).isEqualTo(fault));
	}

	private static byte[] secretOf(int fill) {
		byte[] secret = new byte[ResumeKey.MIN_SECRET_BYTES];
		Arrays.fill(secret, (byte) fill);
		return secret;
	}

}
