package io.shallotspur.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests all sequences of events that affect whether a worker may be sent requests: its
 * statements, its entry in the registry, its restarts and the passage of time.
 */
class WorkerNoticeModelTests {

	private static final int SEQUENCE_LENGTH = 5;

	private static final List<Step> STEPS = List.of(new Step("states that it is leaving", Model::stateLeaving),
			new Step("asks for a pause of 1 s", (m) -> m.askForPause(1_000)),
			new Step("asks for a pause of 3 s", (m) -> m.askForPause(3_000)),
			new Step("the former instance states that it is leaving", Model::stateLeavingOfFormerInstance),
			new Step("entry is written", Model::writeEntry), new Step("entry is removed", (m) -> m.removeEntry(0)),
			new Step("entry is removed with a grace period", (m) -> m.removeEntry(800)),
			new Step("restarts", Model::restart), new Step("900 ms pass", (m) -> m.advance(900)));

	// Guards against a sequence of events after which a worker is sent requests that it
	// does not want, or none although it may be used.
	@Test
	void workerIsUsedExactlyWhenItsStatementsAndItsEntryAllowIt() {
		int sequences = 0;
		for (int n = 0; n < Math.pow(STEPS.size(), SEQUENCE_LENGTH); n++) {
			List<Step> sequence = steps(n);
			Model m = new Model();
			for (Step s : sequence) {
				s.action().accept(m);
				Assertions.assertThat(m.sendsRequest()).as("%s, last step: %s", sequence, s).isEqualTo(m.maySend());
			}
			sequences++;
		}
		Assertions.assertThat(sequences).isEqualTo(59_049);
	}

	private static List<Step> steps(int number) {
		return IntStream.range(0, SEQUENCE_LENGTH)
			.mapToObj((i) -> STEPS.get((int) (number / Math.pow(STEPS.size(), i)) % STEPS.size()))
			.toList();
	}

	private record Step(String name, Consumer<Model> action) {

		@Override
		public String toString() {
			return this.name;
		}

	}

	/**
	 * One worker, and what is expected of the VM.
	 */
	private static final class Model {

		private final GatewayFixture f = new GatewayFixture().configured();

		private final Set<Long> leavingInstances = new HashSet<>();

		private final Map<Long, Long> pauseEnds = new HashMap<>();

		private long instance = 2;

		private long knownInstance = 2;

		private long usedUntil = Long.MAX_VALUE;

		private Model() {
			writeEntry();
		}

		private WorkerInfo info(long startedAt) {
			return new WorkerInfo("p1", "plain", "10.0.0.1", 80, "hall-a", 6, WorkerStage.PLAIN, false, 0, startedAt,
					"v1");
		}

		private long now() {
			return this.f.timer.now();
		}

		private void stateLeaving() {
			this.f.stateLeaving(info(this.knownInstance));
			this.leavingInstances.add(this.knownInstance);
		}

		private void stateLeavingOfFormerInstance() {
			this.f.stateLeaving(info(this.knownInstance - 1));
		}

		private void askForPause(long ms) {
			this.f.askForPause(info(this.knownInstance), ms);
			this.pauseEnds.merge(this.knownInstance, now() + ms, Math::max);
		}

		private void writeEntry() {
			this.f.gateway.roster().updateEntry(info(this.instance), now());
			this.knownInstance = this.instance;
			this.usedUntil = Long.MAX_VALUE;
		}

		private void removeEntry(long graceMs) {
			this.f.gateway.roster().entryRemoved("p1", now() + graceMs);
			this.usedUntil = Math.min(this.usedUntil, now() + graceMs);
		}

		private void restart() {
			this.instance++;
			writeEntry();
		}

		private void advance(long ms) {
			this.f.timer.advance(ms);
		}

		private boolean maySend() {
			return now() < this.usedUntil && !this.leavingInstances.contains(this.knownInstance)
					&& now() >= this.pauseEnds.getOrDefault(this.knownInstance, 0L);
		}

		private boolean sendsRequest() {
			int before = this.f.workers.runs.size();
			Runnable disconnect = this.f.call("safe").disconnect();
			boolean sent = this.f.workers.runs.size() > before;
			if (sent) {
				Assertions.assertThat(this.f.workers.lastRun().call.worker().startedAt()).isEqualTo(this.knownInstance);
				this.f.workers.lastRun().respond(200, "fine");
			}
			disconnect.run();
			return sent;
		}

	}

}
