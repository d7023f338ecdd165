package io.shallotspur.adapter.admin;

import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Comparator;
import java.util.UUID;

import org.jspecify.annotations.Nullable;
import org.reactivestreams.Publisher;
import org.tinylog.Logger;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

import io.shallotspur.contract.Contract;
import io.shallotspur.distribution.ContractChange;
import io.shallotspur.distribution.ContractJson;
import io.shallotspur.exc.ContractConflictException;
import io.shallotspur.exc.ContractInvalidException;
import io.shallotspur.exc.ShallotspurException;

/**
 * The operators' HTTP: contracts with ETag and If-Match, health and metrics. Nothing here
 * tunes a single engine. Thread-safe.
 * <p>
 * Invariant: 200 or 201 on a change means that it is accepted and will be in force
 * everywhere; a problem says whether the change surely was not accepted.
 */
public final class AdminServer {

	private static final String CUSTOMER = "customer";

	private static final String CONTRACT_PATH = "/v1/contracts/{customer}";

	private static final String CHANGE_ID = "Change-Id";

	private static final String ETAG = "ETag";

	private static final int OK = 200;

	private static final int CREATED = 201;

	private static final int UNAUTHORIZED = 401;

	private static final int NOT_FOUND = 404;

	private static final int PRECONDITION_FAILED = 412;

	private static final int PRECONDITION_REQUIRED = 428;

	private static final int UNAVAILABLE = 503;

	private final AdminSettings settings;

	private final AdminSources sources;

	private final byte[] authorization;

	private @Nullable DisposableServer server;

	/**
	 * Creates a server that does not listen yet.
	 * @param settings the settings
	 * @param sources what it shows and drives
	 */
	public AdminServer(AdminSettings settings, AdminSources sources) {
		this.settings = settings;
		this.sources = sources;
		this.authorization = bytes("Bearer " + settings.token());
	}

	/**
	 * Starts to listen.
	 * @return the bound address
	 */
	public Mono<InetSocketAddress> start() {
		return HttpServer.create()
			.host(this.settings.host())
			.port(this.settings.port())
			.requestTimeout(Duration.ofMillis(this.settings.timeoutMs()))
			.idleTimeout(Duration.ofMillis(this.settings.timeoutMs()))
			.route(this::routes)
			.bind()
			.cast(DisposableServer.class)
			.map((s) -> {
				this.server = s;
				return (InetSocketAddress) s.address();
			});
	}

	/**
	 * Stops to listen.
	 * @return completes when the port is free
	 */
	public Mono<Void> stop() {
		DisposableServer s = this.server;
		if (s == null) {
			return Mono.empty();
		}
		s.dispose();
		return s.onDispose();
	}

	private void routes(HttpServerRoutes r) {
		r.get("/healthz", (q, s) -> text(s, OK, "ok\n"))
			.get("/readyz",
					(q, s) -> this.sources.ready().getAsBoolean() ? text(s, OK, "ready\n")
							: text(s, UNAVAILABLE, "not ready\n"))
			.get("/metrics", (q, s) -> guarded(q, s, () -> text(s, OK, this.sources.metrics().get())))
			.get("/v1/contracts", (q, s) -> guarded(q, s, () -> list(s)))
			.get(CONTRACT_PATH, (q, s) -> guarded(q, s, () -> get(q, s)))
			.put(CONTRACT_PATH, (q, s) -> guarded(q, s, () -> put(q, s)))
			.delete(CONTRACT_PATH, (q, s) -> guarded(q, s, () -> retire(q, s)));
	}

	private Publisher<Void> guarded(HttpServerRequest q, HttpServerResponse s, Handler handler) {
		String given = q.requestHeaders().get("Authorization");
		if (given == null || !MessageDigest.isEqual(this.authorization, bytes(given))) {
			s.header("WWW-Authenticate", "Bearer");
			return problem(s, AdminProblem.of("unauthorized", UNAUTHORIZED, "The bearer token is missing or wrong."));
		}
		try {
			return handler.handle();
		}
		catch (ShallotspurException ex) {
			return failed(s, ex);
		}
	}

	private Publisher<Void> list(HttpServerResponse s) {
		return json(s, OK,
				ContractJson.write(this.sources.contracts()
					.get()
					.all()
					.stream()
					.filter((c) -> !c.retired())
					.sorted(Comparator.comparing(Contract::customer))
					.toList()));
	}

	private Publisher<Void> get(HttpServerRequest q, HttpServerResponse s) {
		return this.sources.contracts()
			.get()
			.find(customer(q))
			.map((c) -> contract(s, OK, c))
			.orElseGet(() -> problem(s, AdminProblem.of("unknown-customer", NOT_FOUND, "No contract is in force.")));
	}

	private Publisher<Void> put(HttpServerRequest q, HttpServerResponse s) throws ShallotspurException {
		long expected = expected(q);
		String customer = customer(q);
		return BodyReader.read(q.receive().asByteArray(), this.settings.maxBodyBytes(), customer)
			.map((body) -> read(body, customer))
			.flatMap((c) -> change(q, c, expected))
			.flatMap((c) -> Mono.from(contract(s, (expected == ContractChange.ABSENT) ? CREATED : OK, c)))
			.onErrorResume((ex) -> Mono.from(failed(s, ex)));
	}

	private Publisher<Void> retire(HttpServerRequest q, HttpServerResponse s) throws ShallotspurException {
		long expected = expected(q);
		Contract held = this.sources.contracts().get().find(customer(q)).orElse(null);
		if (held == null || expected == ContractChange.ABSENT) {
			return problem(s, AdminProblem.of("unknown-customer", NOT_FOUND, "No contract is in force."));
		}
		return change(q, held.toTombstone(), expected).flatMap((c) -> Mono.from(contract(s, OK, c)))
			.onErrorResume((ex) -> Mono.from(failed(s, ex)));
	}

	private Mono<Contract> change(HttpServerRequest q, Contract c, long expected) {
		String id = q.requestHeaders().get(CHANGE_ID);
		String changeId = (id != null && !id.isBlank()) ? id : UUID.randomUUID().toString();
		return this.sources.change().apply(new ContractChange(changeId, c, expected));
	}

	// Without the revision that it has seen an operator would overwrite what another has
	// just written, and neither would notice.
	private static long expected(HttpServerRequest q) throws ContractInvalidException, PreconditionMissingException {
		String match = q.requestHeaders().get("If-Match");
		if (match == null) {
			if ("*".equals(q.requestHeaders().get("If-None-Match"))) {
				return ContractChange.ABSENT;
			}
			throw new PreconditionMissingException("Send If-Match with the ETag you have seen, or If-None-Match: *.");
		}
		try {
			long revision = Long.parseLong(match.strip().replace("\"", ""));
			if (revision > 0) {
				return revision;
			}
		}
		catch (NumberFormatException ex) {
			Logger.trace(ex);
		}
		throw new ContractInvalidException("If-Match is not an ETag of this API: " + match, customer(q));
	}

	private static Contract read(byte[] body, String customer) {
		try {
			return ContractJson.readContract(body, customer);
		}
		catch (ContractInvalidException ex) {
			throw Exceptions.propagate(ex);
		}
	}

	private static Publisher<Void> failed(HttpServerResponse s, Throwable thrown) {
		Throwable ex = Exceptions.unwrap(thrown);
		if (ex instanceof PreconditionMissingException) {
			return problem(s,
					AdminProblem.of("precondition-required", PRECONDITION_REQUIRED, String.valueOf(ex.getMessage())));
		}
		if (ex instanceof ContractConflictException c && c.getCurrentRevision() > 0) {
			s.header(ETAG, "\"" + c.getCurrentRevision() + "\"");
		}
		AdminProblem p = AdminProblem.of(ex);
		if (!(ex instanceof ShallotspurException)) {
			Logger.error(ex, "[admin] A request failed.");
		}
		else if (p.status() != PRECONDITION_FAILED) {
			Logger.info("[admin] A change was not accepted: {}.", ex.getMessage());
		}
		return problem(s, p);
	}

	private static String customer(HttpServerRequest q) {
		return URLDecoder.decode(String.valueOf(q.param(CUSTOMER)), StandardCharsets.UTF_8);
	}

	private static Publisher<Void> contract(HttpServerResponse s, int status, Contract c) {
		s.header(ETAG, "\"" + c.revision() + "\"");
		return json(s, status, ContractJson.write(c));
	}

	private static Publisher<Void> problem(HttpServerResponse s, AdminProblem p) {
		return s.status(p.status())
			.header("Content-Type", AdminProblem.MEDIA_TYPE)
			.sendByteArray(Mono.just(p.toJson()));
	}

	private static Publisher<Void> json(HttpServerResponse s, int status, byte[] body) {
		return s.status(status).header("Content-Type", "application/json").sendByteArray(Mono.just(body));
	}

	private static Publisher<Void> text(HttpServerResponse s, int status, String body) {
		return s.status(status)
			.header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
			.sendString(Mono.just(body));
	}

	private static byte[] bytes(String s) {
		return s.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Answers a request that carries the right token.
	 */
	@FunctionalInterface
	private interface Handler {

		Publisher<Void> handle() throws ShallotspurException;

	}

}
