package io.shallotspur.node;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import net.openhft.hashing.LongHashFunction;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.cell.ModelRequest;
import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractSet;
import io.shallotspur.contract.RequestClass;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;
import io.shallotspur.plain.PlainRequest;
import io.shallotspur.port.PlainCall;
import io.shallotspur.port.PlainReply;

/**
 * Finds the terms and the owner of each request, and gives it to the cell here or to the
 * owner elsewhere. Thread-safe.
 */
final class StdRequestHandler implements RequestHandler {

	/**
	 * How often a request may be forwarded. Once is the rule; the second time covers a
	 * change of owner that the first VM had not heard of. Without a limit two VMs with
	 * different views would send a request to and fro.
	 */
	static final int MAX_HOPS = 2;

	private static final long RETRY_AFTER_MS = 1000;

	private final NodePorts ports;

	private final CellHost cells;

	private final Supplier<ContractSet> contracts;

	private final Ownership ownership;

	private final Locator locator;

	private final Forwarder forwarder;

	private final StreamResumer resumer;

	private final AtomicLong lastId = new AtomicLong();

	private final AtomicInteger open = new AtomicInteger();

	private volatile boolean draining;

	StdRequestHandler(NodePorts ports, CellHost cells, Supplier<ContractSet> contracts, Ownership ownership,
			Locator locator, Forwarder forwarder, StreamResumer resumer) {
		this.ports = ports;
		this.cells = cells;
		this.contracts = contracts;
		this.ownership = ownership;
		this.locator = locator;
		this.forwarder = forwarder;
		this.resumer = resumer;
	}

	@Override
	public Mono<Location> locate(String customer, String className) {
		return Mono.fromCallable(() -> {
			Contract c = Admission.find(this.contracts.get(), customer);
			if (c.findClass(className).isEmpty()) {
				throw RefusedException.notRun(RefusalCode.UNKNOWN_CLASS, "The contract has no class of this name.");
			}
			return this.locator.locate(customer, className, now());
		});
	}

	@Override
	public Flux<AnswerPart> model(CallerRequest request) {
		return counted(Flux.defer(() -> {
			try {
				Admission a = Admission.of(this.contracts.get(), request, now());
				return model(a, request.key(), request.body(), 0);
			}
			catch (RefusedException ex) {
				return Flux.error(ex);
			}
		}));
	}

	@Override
	public Flux<AnswerPart> resume(ResumeRequest request) {
		return counted(Flux.defer(() -> {
			try {
				Contract c = Admission.authenticate(this.contracts.get(), request.bearer());
				return this.resumer.resume(c.customer(), request.token(), request.fromIndex());
			}
			catch (RefusedException ex) {
				return Flux.error(ex);
			}
		}));
	}

	@Override
	public Mono<PlainReply> plain(CallerRequest request, String upstream, String method, String path,
			String contentType) {
		return counted(Mono.defer(() -> {
			try {
				Admission a = Admission.of(this.contracts.get(), request, now());
				PlainCall c = new PlainCall(method, path, contentType, request.body(), request.key());
				return plain(a, upstream, c, 0);
			}
			catch (RefusedException ex) {
				return Mono.error(ex);
			}
		}).flux()).singleOrEmpty();
	}

	/**
	 * Refuses new work from now on, but for what other entry VMs own.
	 */
	void drain() {
		this.draining = true;
	}

	int openRequests() {
		return this.open.get();
	}

	Flux<AnswerPart> model(Admission a, String key, byte[] body, int hops) throws RefusedException {
		Prompt p = Prompt.read(body);
		RequestClass c = a.requestClass();
		Owner owner = this.ownership.find(c.upstream(), a.contract().customer(), p.prefix());
		if (owner instanceof Owner.Self self) {
			ModelService m = this.cells.model(checkOpen(self.cell())).orElseThrow(StdRequestHandler::noWorker);
			ModelRequest r = new ModelRequest(nextId(), a.contract().customer(), c.name(), p.tokens(), p.blocks(),
					p.maxOutputTokens(), c.priority(), c.ttftMs(), c.tbtMs(), now(), a.deadlineAt(), c.repeatable(),
					Prompt.fingerprint(a.contract().customer(), body));
			return m.submit(new ModelCall(r, body, key, a.contract().revision()));
		}
		String peer = peer(owner, hops);
		return this.forwarder.model(peer, a, key, body, hops + 1);
	}

	Mono<PlainReply> plain(Admission a, String upstream, PlainCall call, int hops) throws RefusedException {
		RequestClass c = a.requestClass();
		if (!c.upstream().equals(upstream)) {
			throw RefusedException.notRun(RefusalCode.UNKNOWN_UPSTREAM, "The class is not served by this upstream.");
		}
		Owner owner = this.ownership.find(upstream, a.contract().customer(), 0);
		if (owner instanceof Owner.Self self) {
			PlainCallService s = this.cells.plain(checkOpen(self.cell())).orElseThrow(StdRequestHandler::noWorker);
			long now = now();
			PlainRequest r = new PlainRequest(nextId(), a.contract().customer(), c.name(), c.priority(), now,
					now + c.ttftMs(), a.deadlineAt(), c.repeatable());
			return s.submit(new PlainTask(r, call, bodyHash(call)));
		}
		String peer = peer(owner, hops);
		return this.forwarder.plain(peer, a, upstream, call, hops + 1);
	}

	private String checkOpen(String cell) throws RefusedException {
		if (this.draining) {
			throw new RefusedException(
					Refusal.notRun(RefusalCode.DRAINING, "This entry VM is leaving.", RETRY_AFTER_MS));
		}
		return cell;
	}

	private static String peer(Owner owner, int hops) throws RefusedException {
		if (!(owner instanceof Owner.Peer p)) {
			throw noWorker();
		}
		if (hops >= MAX_HOPS) {
			throw new RefusedException(Refusal.notRun(RefusalCode.HOP_LIMIT,
					"The request was forwarded too often and met no owner.", RETRY_AFTER_MS));
		}
		return p.address();
	}

	private static RefusedException noWorker() {
		return new RefusedException(Refusal.notRun(RefusalCode.NO_WORKER,
				"The upstream has no worker that takes new work.", RETRY_AFTER_MS));
	}

	private static long bodyHash(PlainCall c) {
		long h = LongHashFunction.xx().hashChars(String.join("\n", List.of(c.method(), c.path(), c.contentType())));
		return LongHashFunction.xx(h).hashBytes(c.body());
	}

	private <T> Flux<T> counted(Flux<T> answer) {
		return Flux.defer(() -> {
			this.open.incrementAndGet();
			return answer.doFinally((s) -> this.open.decrementAndGet());
		});
	}

	private String nextId() {
		return this.ports.vm() + "-" + this.ports.incarnation() + "-" + this.lastId.incrementAndGet();
	}

	private long now() {
		return this.ports.clock().getAsLong();
	}

}
