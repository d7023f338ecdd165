package io.shallotspur.standin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import reactor.core.publisher.Flux;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.fleet.Worker;
import io.shallotspur.port.TokenChunk;

/**
 * A decode worker: slots, a shared link for transfers, steps that give each stream a
 * token, streams that go on without a reader. Confined to the stand-in's thread.
 */
final class DecodeSim extends StandinWorker {

	private static final long CRASH_MS = 1000;

	private static final double MS_PER_SECOND = 1000;

	private final EngineStandinSettings settings;

	private final Map<String, Stream> streams = new LinkedHashMap<>();

	private int transfers;

	private boolean stepping;

	private double stepMs;

	private long stalledUntil;

	private long generated;

	DecodeSim(Worker worker, EngineStandinSettings s, Scheduler thread, LongSupplier clock) {
		super(worker, s, thread, clock);
		this.settings = s;
	}

	/**
	 * Takes a KV cache over the link.
	 * @param streamId the stream
	 * @param prompt the prompt that was read
	 * @param from holds the cache
	 * @param sink takes the end
	 */
	void transfer(String streamId, StandinPrompt prompt, PrefillSim from, MonoSink<Boolean> sink) {
		checkUp();
		if (active() >= worker().slots()) {
			throw StandinFault.refused("All slots are taken.");
		}
		Stream s = new Stream(prompt);
		this.streams.put(streamId, s);
		from.release(streamId);
		this.transfers++;
		double ms = prompt.tokens() * worker().kvMbPerToken() * this.transfers * MS_PER_SECOND
				/ Math.max(1, worker().linkMbPerS());
		later(() -> arrive(streamId, s, sink), ms + Math.max(0, this.stalledUntil - now()));
	}

	Flux<TokenChunk> decode(String streamId, long from) {
		checkUp();
		Stream s = this.streams.get(streamId);
		if (s == null || !s.arrived) {
			throw StandinFault.refused("There is no such stream.");
		}
		if (s.prompt.poison()) {
			later(() -> crash(CRASH_MS), this.settings.stepBaseMs());
		}
		s.started = true;
		step();
		return s.tokens.asFlux().skip(from);
	}

	void stall(long ms) {
		this.stalledUntil = now() + ms;
	}

	@Override
	int active() {
		return (int) this.streams.values().stream().filter((s) -> !s.finished()).count();
	}

	@Override
	double stepMs() {
		return this.stepMs;
	}

	@Override
	List<String> streams() {
		return List.copyOf(this.streams.keySet());
	}

	@Override
	void cancel(String streamId) {
		Stream s = this.streams.remove(streamId);
		if (s != null) {
			s.tokens.tryEmitError(StandinFault.crashed());
		}
	}

	@Override
	void clear() {
		List<Stream> all = List.copyOf(this.streams.values());
		this.streams.clear();
		this.transfers = 0;
		this.stepping = false;
		all.forEach((s) -> s.tokens.tryEmitError(StandinFault.crashed()));
	}

	@Override
	void describe(ObjectNode n) {
		n.put("slots", worker().slots());
		n.put("transfers", this.transfers);
		n.put("generated", this.generated);
	}

	private void arrive(String streamId, Stream s, MonoSink<Boolean> sink) {
		this.transfers--;
		if (this.streams.get(streamId) != s) {
			sink.error(StandinFault.refused("The transfer was cancelled."));
			return;
		}
		s.arrived = true;
		sink.success(true);
	}

	private void step() {
		long n = this.streams.values().stream().filter(Stream::generating).count();
		if (this.stepping || n == 0) {
			return;
		}
		this.stepping = true;
		this.stepMs = this.settings.stepBaseMs() + n * this.settings.stepMsPerRequest();
		later(this::endStep, this.stepMs);
	}

	private void endStep() {
		this.stepping = false;
		List.copyOf(this.streams.entrySet()).forEach((e) -> advance(e.getKey(), e.getValue()));
		step();
	}

	private void advance(String streamId, Stream s) {
		if (!s.generating()) {
			return;
		}
		s.tokens.tryEmitNext(new TokenChunk(s.next, s.prompt.token(s.prompt.first() + s.next)));
		s.next++;
		this.generated++;
		if (s.finished()) {
			s.tokens.tryEmitComplete();
			later(() -> this.streams.remove(streamId, s), this.settings.keepTextMs());
		}
	}

	/**
	 * A stream. Its tokens are kept, so that a reader can come back for them.
	 */
	private static final class Stream {

		private final StandinPrompt prompt;

		private final Sinks.Many<TokenChunk> tokens = Sinks.many().replay().all();

		private boolean arrived;

		private boolean started;

		private int next;

		Stream(StandinPrompt prompt) {
			this.prompt = prompt;
		}

		boolean finished() {
			return this.prompt.first() + this.next >= this.prompt.total();
		}

		boolean generating() {
			return this.started && !finished();
		}

	}

}
