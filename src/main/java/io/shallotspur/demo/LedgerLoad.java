package io.shallotspur.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.codahale.metrics.MetricRegistry;
import org.HdrHistogram.Histogram;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.ledger.Attempt;
import io.shallotspur.ledger.IntentDecision;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.node.ledger.LedgerMessages;
import io.shallotspur.node.ledger.LedgerService;
import io.shallotspur.node.ledger.LedgerSettings;

/**
 * Sends keyed requests to the ledgers of some nodes in virtual time. Not thread-safe.
 */
final class LedgerLoad {

	private static final int NODES = 8;

	private static final long HOP_MS = 1;

	private static final long STORE_MS = 3;

	private static final int STORE_WRITES_PER_SECOND = 600;

	private static final long RUN_MS = 20;

	private static final long DEADLINE_MS = 2_000;

	private static final long START = 1_790_000_000_000L;

	private static final int SECOND_MS = 1_000;

	private static final int HIGHEST_MS = 60_000;

	private static final byte[] ANSWER = new byte[64];

	private final VirtualTime time = new VirtualTime(START);

	private final LedgerLoadStore store = new LedgerLoadStore(this.time, STORE_MS, STORE_WRITES_PER_SECOND);

	private final List<LedgerService> services = new ArrayList<>();

	private final Histogram added = new Histogram(HIGHEST_MS, 3);

	private final SplittableRandom random;

	private final VirtualPeers peers;

	private long sent;

	private long granted;

	private long refused;

	LedgerLoad(LedgerSettings settings, long seed) {
		this.random = new SplittableRandom(seed);
		this.peers = new VirtualPeers(this.time, LedgerMessages.register(PeerCodec.builder()).build(), HOP_MS);
		for (int i = 0; i < NODES; i++) {
			String self = address(i);
			VirtualNode node = new VirtualNode(this.time);
			this.services
				.add(new LedgerService(new Attempt(self, 1, 0), settings, this.store, this.peers.join(self, node),
						(s) -> address(s % NODES), (a, n) -> true, node, new MetricRegistry()));
		}
	}

	/**
	 * Keeps up a request rate for a while.
	 * @param rate requests a second
	 * @param seconds how long, in virtual seconds
	 * @return what was seen
	 */
	Result run(int rate, int seconds) {
		long startedNs = System.nanoTime();
		double due = 0;
		for (int ms = 0; ms < seconds * SECOND_MS; ms++) {
			due += (double) rate / SECOND_MS;
			while (due >= 1) {
				due -= 1;
				send();
			}
			this.time.advance(1);
		}
		long writes = this.store.writes();
		long bytes = this.store.bytes();
		long reads = this.store.reads();
		this.time.advance(DEADLINE_MS * 2);
		double cpuUs = (System.nanoTime() - startedNs) / 1_000.0 / Math.max(1, this.sent);
		return new Result(rate, (double) writes / seconds, (double) reads / seconds, (double) bytes / seconds,
				this.store.largest(), this.added.getValueAtPercentile(50), this.added.getValueAtPercentile(99),
				(double) this.refused / Math.max(1, this.sent), this.sent - this.granted - this.refused, cpuUs);
	}

	/**
	 * Returns how many keys were granted.
	 * @return the number of keys
	 */
	long granted() {
		return this.granted;
	}

	private void send() {
		LedgerService s = this.services.get(this.random.nextInt(NODES));
		long at = this.time.now();
		IntentKey key = new IntentKey("customer", at + "-" + this.sent++);
		s.begin(key, 1, at, at + DEADLINE_MS).subscribe((d) -> {
			if (d instanceof IntentDecision.Run) {
				this.granted++;
				this.added.recordValue(this.time.now() - at);
				this.time.after(RUN_MS, () -> s.recordAnswer(key, ANSWER, this.time.now()).subscribe());
			}
			else {
				this.refused++;
			}
		});
	}

	private static String address(int node) {
		return "10.0.0." + (node + 1) + ":7100";
	}

	/**
	 * What was seen at one request rate.
	 *
	 * @param rate requests a second
	 * @param writes writes a second
	 * @param reads reads a second
	 * @param bytes bytes written a second
	 * @param largest the largest record, in bytes
	 * @param p50 median of the added latency of those that may run, in milliseconds
	 * @param p99 99th percentile of it, in milliseconds
	 * @param refused share of the requests refused as not run
	 * @param silent requests that were told nothing
	 * @param cpuUs time of the whole run on one core for each request, in microseconds
	 */
	record Result(int rate, double writes, double reads, double bytes, int largest, long p50, long p99, double refused,
			long silent, double cpuUs) {

	}

}
