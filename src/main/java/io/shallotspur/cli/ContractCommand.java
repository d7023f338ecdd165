package io.shallotspur.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import io.shallotspur.cfg.Secret;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.io.ContractFile;
import io.shallotspur.distribution.ContractJson;
import io.shallotspur.exc.ContractConflictException;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.ShallotspurException;

/**
 * Lists, shows, creates, changes and retires contracts through the operators' HTTP of any
 * entry VM. A contract that exists is changed only under the revision that its operator
 * names, so that nobody overwrites what another has just written.
 */
final class ContractCommand implements Command {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final int NOT_FOUND = 404;

	private static final int UNAUTHORIZED = 401;

	private static final int CONFLICT = 412;

	private static final int SERVER_ERROR = 500;

	@Argument(index = 0, required = true, metaVar = "ACTION", usage = "list, get, put or retire")
	private Action action = Action.LIST;

	@Argument(index = 1, metaVar = "CUSTOMER|FILE", usage = "get, retire: the customer; put: a file of contracts, TOML")
	private String target = "";

	@Option(name = "--admin", required = true, metaVar = "HOST:PORT", usage = "operators' address of an entry VM")
	private String admin = "";

	@Option(name = "--token", metaVar = "SECRET",
			usage = "file:PATH, env:NAME or the token itself (default env:SHALLOTSPUR_ADMIN_TOKEN)")
	private String token = "env:SHALLOTSPUR_ADMIN_TOKEN";

	@Option(name = "--revision", metaVar = "N", usage = "put, retire: the revision you have seen; none for a new one")
	private long revision;

	@Option(name = "--json", usage = "print JSON")
	private boolean json;

	@Override
	public int run(PrintStream out, PrintStream err) throws ShallotspurException {
		AdminClient c = new AdminClient(this.admin, Secret.resolve(this.token, Path.of("")).value());
		switch (this.action) {
			case LIST -> list(c, out);
			case GET -> print(expectOk(c.get(customer())), out);
			case PUT -> put(c, out);
			case RETIRE -> print(expectOk(c.delete(customer(), this.revision)), out);
		}
		return ExitCode.OK.code();
	}

	private void list(AdminClient c, PrintStream out) throws ShallotspurException {
		JsonNode all = expectOk(c.list());
		if (this.json) {
			out.println(all);
			return;
		}
		out.printf("%-32s %8s %6s  %s%n", "customer", "revision", "share", "classes");
		for (JsonNode n : all) {
			out.printf("%-32s %8d %6.3f  %s%n", n.path("customer").asText(), n.path("revision").asLong(),
					n.path("share").asDouble(), n.path("classes").findValuesAsText("name"));
		}
	}

	private void put(AdminClient c, PrintStream out) throws ShallotspurException {
		for (Contract k : ContractFile.read(Path.of(customer()))) {
			String body = new String(ContractJson.write(k), StandardCharsets.UTF_8);
			print(expectOk(c.put(k.customer(), this.revision, body)), out);
		}
	}

	private void print(JsonNode n, PrintStream out) {
		if (this.json) {
			out.println(n);
		}
		else {
			out.printf("%s revision %d%s%n", n.path("customer").asText(), n.path("revision").asLong(),
					n.path("retired").asBoolean() ? ", retired" : "");
			n.path("classes")
				.forEach((k) -> out.printf("  %-24s on %-16s priority %d, ttft %d ms, tbt %d ms, deadline %d ms, %s%n",
						k.path("name").asText(), k.path("upstream").asText(), k.path("priority").asInt(),
						k.path("ttft_ms").asLong(), k.path("tbt_ms").asLong(), k.path("deadline_ms").asLong(),
						k.path("repeatable").asBoolean() ? "repeatable" : "at most once"));
		}
	}

	private String customer() throws ContractInvalidException {
		return Optional.of(this.target)
			.filter((t) -> !t.isEmpty())
			.orElseThrow(() -> new ContractInvalidException("This action needs a customer or a file.", null));
	}

	private JsonNode expectOk(AdminClient.Reply r) throws ShallotspurException {
		JsonNode n = parse(r);
		if (r.status() < 300) {
			return n;
		}
		String detail = n.path("detail").asText(r.body());
		if (r.status() == CONFLICT) {
			throw new ContractConflictException(detail + " Look at it and name its revision with --revision.",
					this.target);
		}
		if (r.status() == NOT_FOUND || r.status() == UNAUTHORIZED || r.status() >= SERVER_ERROR) {
			throw new PeerException("The entry VM answered " + r.status() + ": " + detail, this.admin);
		}
		throw new ContractInvalidException(detail, this.target);
	}

	private JsonNode parse(AdminClient.Reply r) throws PeerException {
		try {
			return MAPPER.readTree(r.body());
		}
		catch (JsonProcessingException ex) {
			throw new PeerException("The answer is not JSON; is this the operators' address?", this.admin, ex);
		}
	}

	/**
	 * What to do.
	 */
	enum Action {

		LIST, GET, PUT, RETIRE

	}

}
