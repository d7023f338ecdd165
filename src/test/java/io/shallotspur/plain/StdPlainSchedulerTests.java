package io.shallotspur.plain;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.shallotspur.contract.ContractSet;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.outcome.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

class StdPlainSchedulerTests {

	private final List<PlainAction> actions = new ArrayList<>();

	private final StdPlainScheduler scheduler = new StdPlainScheduler(PlainSettings.defaults(), ContractSet.empty(), 1);

	private static Worker worker(String id, int slots) {
		return new Worker(id, "app", "hall", WorkerRole.PLAIN, "", slots, 0, 0, 0, 0);
	}

	private void event(PlainEvent e, long now) {
		this.scheduler.handle(e, now, this.actions::add);
	}

	private void submit(String id, int priority, boolean repeatable, long now) {
		event(new PlainEvent.Submit(new PlainRequest(id, "a", "c", priority, now, now + 400, now + 1000, repeatable)),
				now);
	}

	private List<PlainAction.StartCall> starts() {
		return this.actions.stream()
			.filter(PlainAction.StartCall.class::isInstance)
			.map(PlainAction.StartCall.class::cast)
			.toList();
	}

	private List<PlainAction.Refuse> refusals() {
		return this.actions.stream()
			.filter(PlainAction.Refuse.class::isInstance)
			.map(PlainAction.Refuse.class::cast)
			.toList();
	}

	@Test
	void urgentCallPassesTheOthers() {
		event(new PlainEvent.WorkerUp(worker("w1", 1)), 0);
		submit("s1", 3, true, 0);
		submit("s2", 3, true, 0);
		submit("k1", 1, false, 0);
		event(new PlainEvent.CallCompleted(1), 20);
		assertThat(starts()).extracting(PlainAction.StartCall::requestId).containsExactly("s1", "k1");
	}

	@Test
	void lostCallThatMayNotBeRepeatedIsNotGivenToASecondWorker() {
		// The worker dies while it encodes a key. Nobody can tell whether the key was
		// encoded, so the kiosk is told so, and no second key is made.
		event(new PlainEvent.WorkerUp(worker("w1", 4)), 0);
		event(new PlainEvent.WorkerUp(worker("w2", 4)), 0);
		submit("k1", 1, false, 0);
		event(new PlainEvent.WorkerDown(starts().get(0).workerId()), 10);
		assertThat(starts()).hasSize(1);
		assertThat(refusals()).singleElement()
			.satisfies((r) -> assertThat(r.refusal().outcome()).isEqualTo(Outcome.OUTCOME_UNKNOWN));
	}

	@Test
	void lostCallThatMayBeRepeatedIsRunElsewhere() {
		// The worker dies while it looks up a door. The lookup changes nothing, so the
		// other worker answers it.
		event(new PlainEvent.WorkerUp(worker("w1", 4)), 0);
		event(new PlainEvent.WorkerUp(worker("w2", 4)), 0);
		submit("s1", 1, true, 0);
		String first = starts().get(0).workerId();
		event(new PlainEvent.WorkerDown(first), 10);
		assertThat(starts()).hasSize(2);
		assertThat(starts().get(1).workerId()).isNotEqualTo(first);
	}

	@Test
	void callThatWasSurelyNotRunIsGivenToAnotherWorkerEvenIfNotRepeatable() {
		// The connection was refused before anything was sent, so a second try is safe.
		event(new PlainEvent.WorkerUp(worker("w1", 4)), 0);
		submit("k1", 1, false, 0);
		event(new PlainEvent.CallNotRun(1), 5);
		assertThat(starts()).hasSize(2);
	}

	@Test
	void callWhoseCallerLeftIsCancelled() {
		// The passenger closes the page. The slot is freed and the late answer dropped.
		event(new PlainEvent.WorkerUp(worker("w1", 1)), 0);
		submit("s1", 1, true, 0);
		event(new PlainEvent.CallerGone("s1"), 5);
		event(new PlainEvent.CallCompleted(1), 8);
		assertThat(this.actions).contains(new PlainAction.CancelCall("s1", 1, "w1"));
		assertThat(this.scheduler.activeCallCount()).isZero();
		submit("s2", 1, true, 9);
		assertThat(starts()).hasSize(2);
	}

}
