package io.shallotspur.replay.fake;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import io.shallotspur.replay.fake.PrefixCache.Prefix;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The fake engines keep the times that the trace format states.
 */
class FakeEngineTests {

	private final EventQueue queue = new EventQueue();

	private final List<String> log = new ArrayList<>();

	@Test
	void theLeastRecentlyUsedPrefixGoesFirst() {
		PrefixCache cache = new PrefixCache(10);
		List<Prefix> evicted = new ArrayList<>();
		Prefix a = new Prefix("a", 4);
		Prefix b = new Prefix("b", 4);
		cache.add(a, evicted::add);
		cache.add(b, evicted::add);
		cache.touch(a);
		assertThat(cache.add(new Prefix("c", 6), evicted::add)).isTrue();
		assertThat(evicted).containsExactly(b);
		assertThat(cache.add(new Prefix("d", 11), evicted::add)).isFalse();
	}

	@Test
	void promptsAreReadOneAtATimeAndTheirPrefixIsReused() {
		PrefillEngine e = prefill();
		Prefix p = new Prefix("a", 500);
		e.submit(1, 1000, p);
		e.submit(2, 1000, p);
		this.queue.runUntil(Long.MAX_VALUE);
		assertThat(this.log).containsExactly("stored a @200", "done 1 1000 @200", "done 2 500 @300");
	}

	@Test
	void aResultIsEvictedUnlessATransferHasBegun() {
		PrefillEngine e = prefill();
		e.submit(1, 1000, null);
		e.submit(2, 1000, null);
		this.queue.runUntil(500 * EventQueue.MS);
		assertThat(e.beginTransfer(1)).isTrue();
		this.queue.runUntil(2000 * EventQueue.MS);
		assertThat(e.holds(1)).isTrue();
		assertThat(e.beginTransfer(2)).isFalse();
	}

	@Test
	void aCancelledPrefillCountsWhatItComputed() {
		PrefillEngine e = prefill();
		e.submit(1, 1000, null);
		this.queue.at(50 * EventQueue.MS, () -> e.cancel(1));
		this.queue.runUntil(Long.MAX_VALUE);
		assertThat(this.log).containsExactly("aborted 1 250 @50");
	}

	@Test
	void transfersShareTheLinkAndStandStillInAStall() {
		DecodeEngine e = decode(4);
		e.beginTransfer(1, 100);
		e.beginTransfer(2, 200);
		this.queue.at(100 * EventQueue.MS, () -> e.stall(1000));
		this.queue.runUntil(Long.MAX_VALUE);
		// 100 MB/s each for 100 ms, nothing for 1 s, then 90 and 190 MB are left.
		assertThat(this.log).containsExactly("moved 1 @2000", "moved 2 @2500");
	}

	@Test
	void aStepGivesEachRequestOneToken() {
		DecodeEngine e = decode(1);
		assertThat(e.beginTransfer(1, 0)).isTrue();
		assertThat(e.beginTransfer(2, 0)).isFalse();
		this.queue.runUntil(0);
		assertThat(e.beginDecode(1, 2)).isTrue();
		this.queue.runUntil(Long.MAX_VALUE);
		assertThat(this.log).containsExactly("moved 1 @0", "token 1 @31", "last 1 @62");
		assertThat(e.active()).isZero();
	}

	@Test
	void aCrashEndsAllWork() {
		DecodeEngine e = decode(4);
		e.beginTransfer(1, 100);
		this.queue.at(10 * EventQueue.MS, e::crash);
		this.queue.runUntil(Long.MAX_VALUE);
		assertThat(this.log).isEmpty();
		assertThat(e.active()).isZero();
	}

	private PrefillEngine prefill() {
		return new PrefillEngine(this.queue, 0.2, 1000, 800, new PrefillEngine.Listener() {

			@Override
			public void prefillDone(long attempt, int computed) {
				note("done " + attempt + " " + computed);
			}

			@Override
			public void prefillAborted(long attempt, int computed) {
				note("aborted " + attempt + " " + computed);
			}

			@Override
			public void cacheChanged(Prefix prefix, boolean stored) {
				note((stored ? "stored " : "evicted ") + prefix.name());
			}

		});
	}

	private DecodeEngine decode(int slots) {
		return new DecodeEngine(this.queue, slots, 30, 1, 200, new DecodeEngine.Listener() {

			@Override
			public void transferDone(long attempt) {
				note("moved " + attempt);
			}

			@Override
			public void token(long attempt, boolean last) {
				note((last ? "last " : "token ") + attempt);
			}

			@Override
			public void stepDone(int batch, double ms) {
				assertThat(ms).isEqualTo(30 + batch);
			}

		});
	}

	private void note(String s) {
		this.log.add(s + " @" + this.queue.nowMs());
	}

}
