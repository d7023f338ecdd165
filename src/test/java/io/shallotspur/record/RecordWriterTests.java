package io.shallotspur.record;

import java.util.SortedMap;

import org.junit.jupiter.api.Test;

import io.shallotspur.testing.FakeKvStore;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The record adds up whatever happens to nodes, answers and the store.
 */
class RecordWriterTests {

	private static final long HOUR = 3_600_000;

	private static final long T = 500_000 * HOUR;

	private static final long MIN = Recorder.MINUTE_MS;

	private final FakeKvStore store = new FakeKvStore();

	@Test
	void countsOfSeveralNodesAddUp() {
		Node a = new Node("a", 1);
		Node b = new Node("b", 1);
		a.finish(3, T);
		b.finish(4, T + 10);
		b.finish(2, T + MIN);
		a.tick(T + 2 * MIN);
		b.tick(T + 2 * MIN);
		assertThat(total()).isEqualTo(9);
		assertThat(read(T, T + MIN).totals().get("c").requests()).isEqualTo(7);
		assertThat(read(T, T + HOUR).totals().get("c").ttft().getTotalCount()).isEqualTo(9);
	}

	/**
	 * A write takes effect and its answer is lost, twice. The node writes again; the
	 * customer's requests must not be counted twice.
	 */
	@Test
	void aLostAnswerNeverCountsTwice() {
		Node a = new Node("a", 1);
		a.finish(5, T);
		this.store.failNextWrites(FakeKvStore.Fault.LOST_AFTER_EFFECT, FakeKvStore.Fault.LOST_BEFORE_EFFECT);
		a.tick(T + MIN);
		assertThat(a.writer.pending()).isEqualTo(1);
		a.tick(T + MIN + 10_000);
		a.tick(T + MIN + 20_000);
		assertThat(a.writer.pending()).isZero();
		assertThat(total()).isEqualTo(5);
	}

	/**
	 * A node dies before its last minute is written, and comes back under the same name.
	 * What was written stays, the present minute is lost, and the new life overwrites
	 * nothing.
	 */
	@Test
	void aRestartOverwritesNothingAndLosesThePresentMinuteAtMost() {
		Node a = new Node("a", 1);
		a.finish(5, T);
		a.tick(T + MIN);
		a.finish(7, T + MIN);
		Node again = new Node("a", 2);
		again.finish(2, T + MIN);
		again.tick(T + 2 * MIN);
		assertThat(total()).isEqualTo(7);
	}

	@Test
	void aNodeThatEndsInOrderLosesNothing() {
		Node a = new Node("a", 1);
		a.finish(5, T);
		a.finish(6, T + MIN);
		a.writer.close().block();
		assertThat(total()).isEqualTo(11);
	}

	/**
	 * The store is down for three hours. Nothing is lost, memory stays bounded because
	 * the minutes of an hour are joined, and when the store is back each tick writes a
	 * few values only.
	 */
	@Test
	void anOutageOfHoursLosesNoCount() {
		Node a = new Node("a", 1, new RecordLimits(10, 2));
		this.store.setDown(true);
		for (int i = 0; i < 180; i++) {
			a.finish(1, T + i * MIN);
			a.tick(T + (i + 1) * MIN);
			assertThat(a.writer.pending()).isLessThanOrEqualTo(10);
		}
		this.store.setDown(false);
		int before = this.store.writes();
		a.tick(T + 181 * MIN);
		assertThat(this.store.writes() - before).isEqualTo(2);
		a.writer.close().block();
		assertThat(total()).isEqualTo(180);
		assertThat(a.writer.droppedRequests()).isZero();
	}

	/**
	 * The outage is so long that even hours do not fit. The oldest counts go, and the
	 * node says how many.
	 */
	@Test
	void whatDoesNotFitIsDroppedAndCounted() {
		Node a = new Node("a", 1, new RecordLimits(3, 2));
		this.store.setDown(true);
		for (int i = 0; i < 10; i++) {
			a.finish(1, T + i * HOUR);
			a.tick(T + i * HOUR + MIN);
		}
		this.store.setDown(false);
		a.writer.close().block();
		assertThat(total() + a.writer.droppedRequests()).isEqualTo(10);
		assertThat(total()).isEqualTo(3);
	}

	@Test
	void aPartThatIsTooLargeForOneValueIsSplit() {
		Node a = new Node("a", 1);
		int customers = 30_000;
		for (int i = 0; i < customers; i++) {
			a.recorder.finished(RecordTestData.end("customer-" + i, Verdict.MET, 1000), T);
		}
		a.writer.close().block();
		assertThat(this.store.list(RecordPart.PREFIX).block()).hasSizeGreaterThan(1)
			.allSatisfy((r) -> assertThat(r.value().length).isLessThan(1_000_000));
		assertThat(read("customer-17", T, T + MIN).totals().get("c").requests()).isEqualTo(1);
		assertThat(read("customer-29999", T, T + MIN).totals().get("c").requests()).isEqualTo(1);
	}

	@Test
	void requestsWithoutRoomAreCountedAsUnrecorded() {
		Recorder r = new Recorder("a", 1, 2);
		for (int i = 0; i < 5; i++) {
			r.finished(RecordTestData.end("customer-" + i, Verdict.MET, 1000), T);
		}
		assertThat(r.drain(T + MIN)).singleElement().satisfies((p) -> {
			assertThat(p.slices()).hasSize(2);
			assertThat(p.unrecorded()).isEqualTo(3);
		});
	}

	@Test
	void aDamagedValueIsSaidAndSkipped() {
		Node a = new Node("a", 1);
		a.finish(5, T);
		a.tick(T + MIN);
		this.store.put(RecordPart.hourPrefix(T) + "b/1/0", new byte[] { 1, 2, 3 });
		assertThat(read(T, T + HOUR).unreadable()).isEqualTo(1);
		assertThat(total()).isEqualTo(5);
	}

	private long total() {
		SortedMap<String, ClassCounts> totals = read(T, T + 10 * HOUR).totals();
		return totals.containsKey("c") ? totals.get("c").requests() : 0;
	}

	private CustomerRecord read(long from, long to) {
		return read("acme", from, to);
	}

	private CustomerRecord read(String customer, long from, long to) {
		return new RecordReader(this.store).read(customer, from, to).blockOptional().orElseThrow();
	}

	private final class Node {

		private final Recorder recorder;

		private final RecordWriter writer;

		Node(String name, long incarnation) {
			this(name, incarnation, RecordLimits.defaults());
		}

		Node(String name, long incarnation, RecordLimits limits) {
			this.recorder = new Recorder(name, incarnation, 100_000);
			this.writer = new RecordWriter(RecordWriterTests.this.store, this.recorder, limits);
		}

		void finish(int count, long now) {
			for (int i = 0; i < count; i++) {
				this.recorder.finished(RecordTestData.end("acme", Verdict.MET, 1000 * i), now);
			}
		}

		void tick(long now) {
			this.writer.tick(now).block();
		}

	}

}
