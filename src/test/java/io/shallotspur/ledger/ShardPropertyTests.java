package io.shallotspur.ledger;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.Size;
import org.jspecify.annotations.Nullable;

import io.shallotspur.exc.InputException;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Interleaves writers that read, write, seal, pause, lose responses and crash, and
 * asserts that no key is run twice.
 */
class ShardPropertyTests {

	private static final LedgerLimits LIMITS = LedgerLimits.DEFAULT.withShards(1, 1).withSegments(200, 4, 40);

	private static final int WRITERS = 3;

	private static final int KEYS = 6;

	@Property(tries = 8_000, seed = "20261202", shrinking = ShrinkingMode.BOUNDED)
	void runsAtMostOnce(@ForAll @Size(min = 20, max = 120) List<Integer> steps) throws InputException {
		new History().run(steps);
	}

	@Tag("long")
	@Property(tries = 400_000, seed = "5", shrinking = ShrinkingMode.BOUNDED)
	void runsAtMostOnceLong(@ForAll @Size(min = 20, max = 200) List<Integer> steps) throws InputException {
		new History().run(steps);
	}

	private static final class History {

		private final Map<String, byte[]> store = new HashMap<>();

		private final Map<String, Long> versions = new HashMap<>();

		private final Map<KeyDigest, Integer> runs = new HashMap<>();

		private final List<Writer> writers = new ArrayList<>();

		private final List<Runnable> delayedWrites = new ArrayList<>();

		private long now = 1_000;

		private long nextAttempt;

		private History() {
			for (int i = 0; i < WRITERS; i++) {
				this.writers.add(new Writer("n" + i));
			}
		}

		void run(List<Integer> steps) throws InputException {
			for (int s : steps) {
				int bits = s ^ (s >>> 16);
				Writer writer = this.writers.get(Math.floorMod(bits, WRITERS));
				step(writer, Math.floorMod(bits / WRITERS, 12), Math.floorMod(bits / 37, KEYS),
						Math.floorMod(bits / 101, 4));
				assertThat(this.runs.values()).allMatch((n) -> n <= 1);
			}
		}

		private void step(Writer writer, int action, int key, int fault) throws InputException {
			switch (action) {
				case 0, 1, 2 -> writer.begin(key);
				case 3, 4, 5 -> writer.write(fault);
				case 6 -> writer.load();
				case 7 -> writer.end(key, fault);
				case 8 -> writer.seal(fault);
				case 9 -> writer.crash();
				case 10 -> advance(key * 4L);
				default -> applyDelayedWrites();
			}
		}

		private void advance(long ms) {
			this.now += ms;
		}

		private void applyDelayedWrites() {
			List.copyOf(this.delayedWrites).forEach(Runnable::run);
			this.delayedWrites.clear();
		}

		private boolean compareAndSwap(String key, long expected, byte[] value, int fault) {
			if (fault == 1) {
				return false;
			}
			if (fault == 2) {
				// The response is lost and the write takes effect later.
				this.delayedWrites.add(() -> compareAndSwap(key, expected, value, 0));
				return false;
			}
			if (this.versions.getOrDefault(key, 0L) != expected) {
				return false;
			}
			this.versions.put(key, expected + 1);
			this.store.put(key, value);
			return fault != 3;
		}

		private final class Writer {

			private final String name;

			private long incarnation;

			private @Nullable Shard shard;

			private long version;

			private final List<Intent> pending = new ArrayList<>();

			private final List<AttemptResult> results = new ArrayList<>();

			private final Map<Attempt, Intent> running = new HashMap<>();

			private Writer(String name) {
				this.name = name;
			}

			void begin(int key) throws InputException {
				KeyDigest digest = new KeyDigest(0, key);
				long time = 990 + key * 10L;
				Intent i = new Intent(digest, key, time,
						new Attempt(this.name, this.incarnation, History.this.nextAttempt++));
				this.pending.add(i);
				decide();
			}

			void decide() throws InputException {
				if (this.shard == null) {
					load();
				}
				Shard base = this.shard.withAttemptResults(this.results);
				for (Intent i : List.copyOf(this.pending)) {
					ClaimResult result = base.decide(i, History.this.now);
					if (result instanceof ClaimResult.Unclaimed) {
						continue;
					}
					this.pending.remove(i);
					if (result instanceof ClaimResult.Granted) {
						History.this.runs.merge(i.key(), 1, Integer::sum);
						this.running.put(i.attempt(), i);
					}
				}
			}

			void write(int fault) throws InputException {
				decide();
				Map<KeyDigest, Intent> first = new HashMap<>();
				this.pending.forEach((i) -> first.putIfAbsent(i.key(), i));
				Shard next = this.shard.withAttemptResults(this.results)
					.withIntents(first.values())
					.withBatch(new BatchId(this.name, this.incarnation, 0), History.this.now);
				byte[] bytes = ShardCodec.encode(next.head());
				if (compareAndSwap("head", this.version, bytes, fault)) {
					this.version++;
					this.shard = next;
					this.results.clear();
				}
				else {
					this.shard = null;
				}
				decide();
			}

			void seal(int fault) throws InputException {
				if (this.shard == null || !this.shard.shouldSeal()) {
					return;
				}
				Segment s = this.shard.toSegment(this.version);
				String slot = "slot" + this.shard.slotOf(s.ref());
				byte[] old = History.this.store.get(slot);
				Segment stored = (old != null) ? ShardCodec.decodeSegment(old) : null;
				boolean done = stored != null && stored.ref().equals(s.ref());
				long slotVersion = History.this.versions.getOrDefault(slot, 0L);
				if (!done && ((stored != null && !stored.isOlderThan(s.ref()))
						|| !compareAndSwap(slot, slotVersion, ShardCodec.encode(s), fault))) {
					this.shard = null;
					return;
				}
				this.shard = this.shard.withSealedHead(s);
			}

			void end(int key, int fault) {
				for (Intent i : List.copyOf(this.running.values())) {
					if (i.key().lo() == key) {
						this.running.remove(i.attempt());
						EntryState s = switch (fault) {
							case 0 -> new EntryState.Unknown();
							case 1 -> new EntryState.NotStarted();
							default -> new EntryState.Answered(new byte[] { (byte) key });
						};
						if (fault == 1) {
							History.this.runs.merge(i.key(), -1, Integer::sum);
						}
						this.results.add(new AttemptResult(i.key(), i.attempt(), s));
					}
				}
			}

			void crash() {
				this.incarnation++;
				this.shard = null;
				this.pending.clear();
				this.results.clear();
				this.running.clear();
			}

			void load() throws InputException {
				byte[] head = History.this.store.get("head");
				this.version = History.this.versions.getOrDefault("head", 0L);
				ShardHead r = (head != null) ? ShardCodec.decodeHead(head) : ShardHead.EMPTY;
				Map<SegmentRef, Segment> sealed = new HashMap<>();
				for (SegmentRef ref : r.segments()) {
					byte[] b = History.this.store.get("slot" + ref.sequence() % 4);
					Segment s = ShardCodec.decodeSegment(b);
					assertThat(s.ref()).as("the slot holds the segment to which the head refers").isEqualTo(ref);
					sealed.put(ref, s);
				}
				this.shard = new Shard(LIMITS, 4, r, sealed);
			}

		}

	}

}
