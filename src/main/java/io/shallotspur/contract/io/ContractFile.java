package io.shallotspur.contract.io;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractValidator;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.InputException;
import io.shallotspur.util.toml.Problems;
import io.shallotspur.util.toml.TomlTable;

/**
 * The operators' file format of contracts (TOML). Reading is strict: an unknown key, a
 * wrong type, a missing field and a term that cannot be kept are errors, and all of them
 * are reported together. Stateless and thread-safe.
 */
public final class ContractFile {

	private static final long MAX_MS = 86_400_000L;

	private static final int MAX_PRIORITY = 1000;

	private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

	private ContractFile() {
	}

	/**
	 * Reads the contracts of a file.
	 * @param file the file
	 * @return the contracts, with revision 0
	 * @throws InputException if the file cannot be read or is not TOML
	 * @throws ContractInvalidException if its contracts cannot be accepted; the message
	 * has one line for each problem
	 */
	public static List<Contract> read(Path file) throws InputException, ContractInvalidException {
		Problems problems = new Problems(file.toString());
		return read(TomlTable.parse(file, problems), problems);
	}

	/**
	 * Reads contracts from a text.
	 * @param text the text
	 * @param name names the text in errors
	 * @return the contracts, with revision 0
	 * @throws InputException if the text is not TOML
	 * @throws ContractInvalidException if its contracts cannot be accepted; the message
	 * has one line for each problem
	 */
	public static List<Contract> parse(String text, String name) throws InputException, ContractInvalidException {
		Problems problems = new Problems(name);
		return read(TomlTable.parse(text, problems), problems);
	}

	private static List<Contract> read(TomlTable top, Problems problems) throws ContractInvalidException {
		List<Contract> contracts = new ArrayList<>();
		for (TomlTable t : top.tables("contract")) {
			contracts.add(readContract(t));
		}
		if (contracts.isEmpty()) {
			top.problem("contract", "there is none", "[[contract]], at least one");
		}
		top.finish();
		if (problems.isEmpty()) {
			ContractValidator.validate(contracts, problems);
		}
		if (!problems.isEmpty()) {
			throw new ContractInvalidException(problems.toString(), problems.file());
		}
		return contracts;
	}

	private static Contract readContract(TomlTable t) {
		String customer = t.text("customer");
		double share = t.number("share", 0, 1);
		List<String> hashes = t.texts("key_hashes");
		for (String h : hashes) {
			if (!SHA256.matcher(h).matches()) {
				t.problem("key_hashes", "\"" + h + "\" is no hash", "SHA-256 as 64 lower-case hex digits");
			}
		}
		List<RequestClass> classes = t.tables("class").stream().map(ContractFile::readClass).toList();
		t.finish();
		return new Contract(customer, 0, share, hashes, classes, false);
	}

	private static RequestClass readClass(TomlTable t) {
		String name = t.text("name");
		String upstream = t.text("upstream");
		int priority = (int) t.whole("priority", 0, MAX_PRIORITY);
		long ttft = t.whole("ttft_ms", 1, MAX_MS);
		long tbt = t.whole("tbt_ms", 1, MAX_MS);
		long deadline = t.whole("deadline_ms", 1, MAX_MS);
		boolean repeatable = t.flag("repeatable");
		t.finish();
		return new RequestClass(name, upstream, priority, ttft, tbt, deadline, repeatable);
	}

}
