package io.shallotspur.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

import io.shallotspur.cell.ModelRequest;
import io.shallotspur.fleet.Worker;
import io.shallotspur.port.PrefillResult;

/**
 * A prefill worker: one prompt at a time, a cache of prefix blocks, results that are
 * evicted unless a transfer takes them. Confined to the stand-in's thread.
 */
final class PrefillSim extends StandinWorker {

	private final double msPerToken;

	private final Deque<Job> queue = new ArrayDeque<>();

	private final Map<String, StandinPrompt> results = new HashMap<>();

	private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);

	private @Nullable Job running;

	private long prefills;

	private long computedTokens;

	private long evicted;

	PrefillSim(Worker worker, EngineStandinSettings s, Scheduler thread, LongSupplier clock) {
		super(worker, s, thread, clock);
		this.msPerToken = s.prefillMsPerToken();
	}

	void prefill(String streamId, StandinPrompt prompt, MonoSink<PrefillResult> sink) {
		checkUp();
		this.queue.add(new Job(streamId, prompt, sink));
		next();
	}

	StandinPrompt result(String streamId) {
		checkUp();
		StandinPrompt p = this.results.get(streamId);
		if (p == null) {
			throw StandinFault.refused("The result was evicted.");
		}
		return p;
	}

	/**
	 * Lets a result go to the decode worker that takes it.
	 * @param streamId the stream
	 */
	void release(String streamId) {
		this.results.remove(streamId);
	}

	@Override
	int active() {
		return this.queue.size() + ((this.running != null) ? 1 : 0) + this.results.size();
	}

	@Override
	double stepMs() {
		return 0;
	}

	@Override
	List<String> streams() {
		List<String> ids = new ArrayList<>(this.results.keySet());
		this.queue.forEach((j) -> ids.add(j.streamId));
		if (this.running != null) {
			ids.add(this.running.streamId);
		}
		return ids;
	}

	@Override
	void cancel(String streamId) {
		this.results.remove(streamId);
		this.queue.removeIf((j) -> j.streamId.equals(streamId));
		if (this.running != null && this.running.streamId.equals(streamId)) {
			this.running = null;
			next();
		}
	}

	@Override
	void clear() {
		List<Job> all = new ArrayList<>(this.queue);
		if (this.running != null) {
			all.add(this.running);
		}
		this.queue.clear();
		this.running = null;
		this.results.clear();
		this.cache.clear();
		all.forEach((j) -> j.sink.error(StandinFault.crashed()));
	}

	@Override
	void describe(ObjectNode n) {
		n.put("queued", this.queue.size());
		n.put("running", (this.running != null) ? 1 : 0);
		n.put("kv_held", this.results.size());
		n.put("prefills", this.prefills);
		n.put("computed_tokens", this.computedTokens);
		n.put("evicted", this.evicted);
		n.put("cached_blocks", this.cache.size());
	}

	private void next() {
		if (this.running != null || this.queue.isEmpty()) {
			return;
		}
		Job j = this.queue.remove();
		this.running = j;
		int computed = Math.max(1, j.prompt.tokens() - cachedTokens(j.prompt));
		later(() -> finish(j, computed), computed * this.msPerToken);
	}

	private void finish(Job j, int computed) {
		if (this.running != j) {
			return;
		}
		this.running = null;
		this.prefills++;
		this.computedTokens += computed;
		store(j.prompt);
		this.results.put(j.streamId, j.prompt);
		later(() -> evict(j), worker().kvTtlMs());
		j.sink.success(new PrefillResult(j.prompt.tokens(), computed));
		next();
	}

	private void evict(Job j) {
		if (this.results.remove(j.streamId, j.prompt)) {
			this.evicted++;
		}
	}

	private int cachedTokens(StandinPrompt p) {
		int n = 0;
		while (n < p.blocks().length && this.cache.get(p.blocks()[n]) != null) {
			n++;
		}
		return n * ModelRequest.BLOCK_TOKENS;
	}

	private void store(StandinPrompt p) {
		for (long b : p.blocks()) {
			if (this.cache.put(b, true) == null) {
				reports().cache(b, true);
			}
		}
		int most = worker().cacheTokens() / ModelRequest.BLOCK_TOKENS;
		var eldest = this.cache.keySet().iterator();
		while (this.cache.size() > most && eldest.hasNext()) {
			reports().cache(eldest.next(), false);
			eldest.remove();
		}
	}

	/**
	 * A prompt that waits or is read.
	 *
	 * @param streamId the stream
	 * @param prompt the prompt
	 * @param sink takes the end
	 */
	private record Job(String streamId, StandinPrompt prompt, MonoSink<PrefillResult> sink) {

	}

}
