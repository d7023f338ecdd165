package io.shallotspur.contract.io;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.shallotspur.contract.Contract;
import io.shallotspur.exc.ContractInvalidException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class ContractFileTests {

	private static final String VALID = contract("acme", "0.6", "2000", "15000");

	@Test
	void readsContracts() throws Exception {
		List<Contract> contracts = ContractFile.parse(VALID + contract("globex", "0.4", "100", "100"), "c.toml");
		assertThat(contracts).extracting(Contract::customer).containsExactly("acme", "globex");
		assertThat(contracts.get(0).classes().get(0).deadlineMs()).isEqualTo(15000);
	}

	@Test
	void reportsAllProblemsOfAFileAtOnce() {
		String text = """
				[[contract]]
				customer = "acme"
				share = "half"
				key_hashes = ["abc"]
				colour = "red"
				[[contract.class]]
				name = "summary"
				priority = -1
				ttft_ms = 1.5
				tbt_ms = 53
				deadline_ms = 10
				repeatable = "yes"
				""";
		assertThatExceptionOfType(ContractInvalidException.class).isThrownBy(() -> ContractFile.parse(text, "c.toml"))
			.satisfies((ex) -> assertThat(ex.getMessage()).contains("c.toml: contract[0].share: ")
				.contains("contract[0].key_hashes: ")
				.contains("contract[0].colour: ")
				.contains("contract[0].class[0].upstream: ")
				.contains("contract[0].class[0].priority: ")
				.contains("contract[0].class[0].ttft_ms: ")
				.contains("contract[0].class[0].repeatable: ")
				.hasLineCount(7));
	}

	@Test
	void rejectsSharesOfAnUpstreamThatExceedOne() {
		assertInvalid(VALID + contract("globex", "0.5", "100", "100"), "upstream llm");
	}

	@Test
	void rejectsTargetGreaterThanTheDeadline() {
		assertInvalid(contract("acme", "0.6", "2000", "1000"), "acme/summary.ttft_ms");
	}

	@Test
	void rejectsDuplicateCustomer() {
		assertInvalid(contract("acme", "0.1", "1", "1") + contract("acme", "0.1", "1", "1"), "acme: is duplicated");
	}

	private static void assertInvalid(String text, String message) {
		assertThatExceptionOfType(ContractInvalidException.class).isThrownBy(() -> ContractFile.parse(text, "c.toml"))
			.withMessageContaining(message);
	}

	private static String contract(String customer, String share, String ttft, String deadline) {
		return """
				[[contract]]
				customer = "%s"
				share = %s
				[[contract.class]]
				name = "summary"
				upstream = "llm"
				priority = 2
				ttft_ms = %s
				tbt_ms = 53
				deadline_ms = %s
				repeatable = true
				""".formatted(customer, share, ttft, deadline);
	}

}
