package io.shallotspur.contract;

import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link BearerKey}.
 */
class BearerKeyTests {

	@Test
	void hashesTheTokenOfWellFormedCredentials() {
		String hash = BearerKey.hash("banfqasnmgkc.uyj8-pj~bv+/x==");
		for (String c : List.of("Bearer banfqasnmgkc.uyj8-pj~bv+/x==", "bearer  banfqasnmgkc.uyj8-pj~bv+/x== ",
				"BEARER banfqasnmgkc.uyj8-pj~bv+/x==")) {
			Assertions.assertThat(BearerKey.hashCredentials(c)).as(c).contains(hash);
		}
	}

	// Credentials that another reader could take for other ones than this one does.
	@Test
	void takesNothingElseForAKey() {
		for (String c : List.of("", "Bearer", "Bearer ", "Basic abc", "Bearer a b", "Bearer a,Bearer b", "Bearer a\tb",
				"Bearer =a", "Bearer a=b", "abc", "Bearer \u00e4", " Bearer a", "Bearer a;b", "Bearer \"a\"")) {
			Assertions.assertThat(BearerKey.hashCredentials(c)).as(c).isEmpty();
		}
	}

	@Test
	void hashesAsContractsWriteIt() {
		Assertions.assertThat(BearerKey.hash("secret"))
			.isEqualTo("2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b");
	}

}
