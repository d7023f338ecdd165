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
 * Reads contracts from TOML files. Parsing is strict: unknown keys, wrong types, missing
 * fields and invalid values are errors, and all errors of a file are reported together.
 * Stateless and thread-safe.
 */
public final class ContractFile {

	private static final long MAX_MS = 86_400_000L;

	private static final int MAX_PRIORITY = 1000;

	private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

	private ContractFile() {
	}

	/**
	 * Reads the contracts from a file.
	 * @param file the file
	 * @return the contracts, with revision 0
	 * @throws InputException if the file cannot be read or is not TOML
	 * @throws ContractInvalidException if the contracts are invalid; the message has one
	 * line for each problem
	 */
	public static List<Contract> read(Path file) throws InputException, ContractInvalidException {
		Problems problems = new Problems(file.toString());
		return read(TomlTable.parse(file, problems), problems);
	}

	/**
	 * Parses contracts from a string.
	 * @param text the TOML text
	 * @param name the name of the text in error messages
	 * @return the contracts, with revision 0
	 * @throws InputException if the text is not TOML
	 * @throws ContractInvalidException if the contracts are invalid; the message has one
	 * line for each problem
	 */
	public static List<Contract> parse(String text, String name) throws InputException, ContractInvalidException {
		Problems problems = new Problems(name);
		return read(TomlTable.parse(text, problems), problems);
	}

	private static List<Contract> read(TomlTable root, Problems problems) throws ContractInvalidException {
		List<Contract> contracts = new ArrayList<>();
		for (TomlTable table : root.tables("contract")) {
			contracts.add(readContract(table));
		}
		if (contracts.isEmpty()) {
			root.problem("contract", "is missing", "at least one [[contract]]");
		}
		root.finish();
		if (problems.isEmpty()) {
			ContractValidator.validate(contracts, problems);
		}
		if (!problems.isEmpty()) {
			throw new ContractInvalidException(problems.toString(), problems.file());
		}
		return contracts;
	}

	private static Contract readContract(TomlTable table) {
		String customer = table.text("customer");
		double share = table.number("share", 0, 1);
		List<String> hashes = table.texts("key_hashes");
		for (String hash : hashes) {
			if (!SHA256.matcher(hash).matches()) {
				table.problem("key_hashes", "\"" + hash + "\" is not a hash", "SHA-256 as 64 lower-case hex digits");
			}
		}
		List<RequestClass> classes = table.tables("class").stream().map(ContractFile::readClass).toList();
		table.finish();
		return new Contract(customer, 0, share, hashes, classes, false);
	}

	private static RequestClass readClass(TomlTable table) {
		String name = table.text("name");
		String upstream = table.text("upstream");
		int priority = (int) table.whole("priority", 0, MAX_PRIORITY);
		long ttft = table.whole("ttft_ms", 1, MAX_MS);
		long tbt = table.whole("tbt_ms", 1, MAX_MS);
		long deadline = table.whole("deadline_ms", 1, MAX_MS);
		boolean repeatable = table.flag("repeatable");
		table.finish();
		return new RequestClass(name, upstream, priority, ttft, tbt, deadline, repeatable);
	}

}
