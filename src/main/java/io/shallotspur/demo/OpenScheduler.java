package io.shallotspur.demo;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.shallotspur.cell.CellAction;
import io.shallotspur.cell.CellEvent;
import io.shallotspur.cell.CellScheduler;

/**
 * Admits every request at once, so that a measurement of the relay measures nothing else.
 * Not thread-safe.
 */
final class OpenScheduler implements CellScheduler {

	private final Map<Long, String> requests = new HashMap<>();

	private final Map<String, Long> attempts = new HashMap<>();

	private final String prefill;

	private final String decode;

	private long last;

	OpenScheduler(String prefill, String decode) {
		this.prefill = prefill;
		this.decode = decode;
	}

	@Override
	public void handle(CellEvent event, long now, Consumer<CellAction> out) {
		if (event instanceof CellEvent.Submit e) {
			this.last++;
			this.requests.put(this.last, e.request().id());
			this.attempts.put(e.request().id(), this.last);
			out.accept(new CellAction.StartPrefill(e.request().id(), this.last, this.prefill, this.decode, 0));
		}
		else if (event instanceof CellEvent.PrefillDone e && this.requests.containsKey(e.attempt())) {
			String id = this.requests.get(e.attempt());
			out.accept(new CellAction.StartTransfer(id, e.attempt(), this.prefill, this.decode));
		}
		else if (event instanceof CellEvent.TransferDone e && this.requests.containsKey(e.attempt())) {
			out.accept(new CellAction.StartDecode(this.requests.get(e.attempt()), e.attempt(), this.decode));
		}
		else if (event instanceof CellEvent.CallerGone e && this.attempts.containsKey(e.requestId())) {
			long attempt = this.attempts.remove(e.requestId());
			this.requests.remove(attempt);
			out.accept(new CellAction.CancelDecode(e.requestId(), attempt, this.decode));
		}
	}

	@Override
	public long nextWake(long now) {
		return Long.MAX_VALUE;
	}

}
