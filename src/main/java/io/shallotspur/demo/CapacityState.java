package io.shallotspur.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.Set;

import io.shallotspur.distribution.ContractTable;
import io.shallotspur.fleet.Worker;
import io.shallotspur.fleet.WorkerRole;
import io.shallotspur.ledger.Attempt;
import io.shallotspur.ledger.BatchId;
import io.shallotspur.ledger.Intent;
import io.shallotspur.ledger.IntentKey;
import io.shallotspur.ledger.KeyDigest;
import io.shallotspur.ledger.LedgerLimits;
import io.shallotspur.ledger.InMemoryLedger;
import io.shallotspur.ledger.Shard;
import io.shallotspur.ledger.ShardCodec;
import io.shallotspur.locate.CellDefinition;
import io.shallotspur.locate.CellMap;
import io.shallotspur.locate.CellPartitioner;
import io.shallotspur.membership.Member;
import io.shallotspur.membership.MemberStatus;
import io.shallotspur.membership.View;
import io.shallotspur.record.NodeMetrics;
import io.shallotspur.record.RecordCodec;
import io.shallotspur.record.RecordPart;
import io.shallotspur.record.Recorder;
import io.shallotspur.record.RequestEnd;
import io.shallotspur.record.Verdict;
import io.shallotspur.resume.ResumeClaims;
import io.shallotspur.resume.ResumeException;
import io.shallotspur.resume.ResumeKey;
import io.shallotspur.resume.ResumeTokens;

/**
 * Measures the parts that hold state: contracts, the map of cells, the ledger, the
 * record, metrics and resume tokens. Not thread-safe.
 */
final class CapacityState {

	private static final int[] CUSTOMERS = { 1000, 10_000, 33_000 };

	private static final int[] MEMBERS = { 50, 200, 780 };

	private static final int[] WORKERS = { 900, 2700, 6900 };

	private static final int[] ENTRIES = { 100, 400, 800 };

	private static final int[] SLICES = { 100, 1000, 5000 };

	private static final int[] GAPS = { 1, 50, 213 };

	private static final int UPSTREAMS = 14;

	private static final int HALLS = 5;

	private static final int TOP_CUSTOMERS = 100;

	private static final int OFTEN = 20_000;

	private final CapacityTable table;

	private final Random random;

	CapacityState(CapacityTable table, long seed) {
		this.table = table;
		this.random = new Random(seed);
	}

	/**
	 * Measures and prints.
	 */
	void measure() {
		contracts();
		map();
		ledger();
		record();
		metricsAndTokens();
	}

	private void contracts() {
		this.table.section("Contract watcher: ContractTable and ContractSet");
		this.table.row("heap of the table and its set", "bytes", "contracts", CUSTOMERS, (n) -> {
			long before = CapacityTable.heap();
			ContractTable t = contractTable(n);
			t.snapshot();
			long used = CapacityTable.heap() - before;
			return (t.size() == n) ? used : -1;
		});
		this.table.row("adopt all", "us", "contracts", CUSTOMERS, (n) -> this.table.micros(5, (i) -> contractTable(n)));
		this.table.row("adopt one and make the set anew", "us", "contracts", CUSTOMERS, (n) -> {
			ContractTable t = contractTable(n);
			long[] revision = { 1 };
			return this.table.micros(20, (i) -> {
				t.updateIfNewer(ClusterMeasure.terms("c1", 0.1).withRevision(++revision[0]));
				t.snapshot();
			});
		});
		this.table.row("digest", "us", "contracts", CUSTOMERS, (n) -> {
			ContractTable t = contractTable(n);
			return this.table.micros(OFTEN, (i) -> t.digest());
		});
	}

	private void map() {
		this.table.section("Locate: CellPlanner and CellMap, 14 upstreams, 5 data centres");
		this.table.row("plan the cells", "us", "workers", WORKERS,
				(n) -> this.table.micros(10, (i) -> CellPartitioner.partition(workers(n))));
		List<CellDefinition> all = CellPartitioner.partition(workers(this.table.scaled(WORKERS[2])));
		this.table.row("make the map after a change, " + all.size() + " cells", "us", "members", MEMBERS, (n) -> {
			View v = view(n);
			return this.table.micros(10, (i) -> CellMap.of(all, Set.of(), v));
		});
		this.table.row("one locate answer", "us", "members", MEMBERS, (n) -> {
			CellMap m = CellMap.of(all, Set.of(), view(n));
			return this.table.micros(2000,
					(i) -> m.locate("u" + i % UPSTREAMS, "c" + i, 0.001, (c) -> 0.5, this.random));
		});
		this.table.row("choose the cell of a request, 780 members", "us", "workers", WORKERS, (n) -> {
			CellMap m = CellMap.of(CellPartitioner.partition(workers(n)), Set.of(),
					view(this.table.scaled(MEMBERS[2])));
			return this.table.micros(2000, (i) -> m.selectCell("u" + i % UPSTREAMS, "c" + i, 0.001, i, (c) -> 0.5));
		});
	}

	private void ledger() {
		this.table.section("Ledger shard owner: Shard, ShardCodec; MemoryLedger for the step of one key");
		this.table.row("head as written, in flight", "bytes", "entries in the head", ENTRIES,
				(n) -> ShardCodec.encode(shard(n).head()).length);
		this.table.row("one write: add 10 intents, note the batch, encode", "us", "entries in the head", ENTRIES,
				(n) -> {
					Shard s = shard(n);
					List<Intent> more = intents(n, 10);
					return this.table.micros(200, (i) -> ShardCodec
						.encode(s.withIntents(more).withBatch(new BatchId("vm-1", 1, i), 1).head()));
				});
		this.table.row("one write of so many intents to a head of 400", "us", "intents", ENTRIES, (n) -> {
			Shard s = shard(this.table.scaled(ENTRIES[1]));
			List<Intent> more = intents(OFTEN, n);
			return this.table.micros(200,
					(i) -> ShardCodec.encode(s.withIntents(more).withBatch(new BatchId("vm-1", 1, i), 1).head()));
		});
		this.table.note("begin and answer a key in memory", us(this.table.micros(OFTEN, new KeyStep()::run)));
	}

	private void record() {
		this.table.section("Record writer: Recorder and RecordCodec");
		this.table.row("finished", "us/request", "tokens", GAPS, (n) -> {
			Recorder r = new Recorder("vm-1", 1, OFTEN);
			RequestEnd[] ends = ends(n);
			return this.table.micros(OFTEN, (i) -> r.finished(ends[i % ends.length], 0));
		});
		for (int requests : new int[] { 1, 12 }) {
			this.table.row("value, " + requests + " requests of 213 tokens a slice", "bytes", "slices", SLICES,
					(n) -> RecordCodec.encode(part(n, requests)).length);
		}
		this.table.row("encode, 1 request a slice", "us", "slices", SLICES, (n) -> {
			RecordPart p = part(n, 1);
			return this.table.micros(10, (i) -> RecordCodec.encode(p));
		});
		this.table.row("heap of a minute, 1 request a slice", "bytes", "slices", SLICES, (n) -> {
			long before = CapacityTable.heap();
			RecordPart p = part(n, 1);
			long used = CapacityTable.heap() - before;
			return (p.requests() == n) ? used : -1;
		});
	}

	private void metricsAndTokens() {
		this.table.section("Metrics with " + TOP_CUSTOMERS + " customers of their own, and resume tokens");
		this.table.row("scrape", "us", "customers seen", CUSTOMERS, (n) -> {
			NodeMetrics m = metrics(n);
			return this.table.micros(10, (i) -> m.scrape());
		});
		this.table.row("scrape", "bytes", "customers seen", CUSTOMERS, (n) -> metrics(n).scrape().length());
		this.table.row("heap", "bytes", "customers seen", CUSTOMERS, (n) -> {
			long before = CapacityTable.heap();
			NodeMetrics m = metrics(n);
			long used = CapacityTable.heap() - before;
			return m.scrape().isEmpty() ? -1 : used;
		});
		NodeMetrics m = metrics(this.table.scaled(CUSTOMERS[2]));
		this.table.row("count a request, 33,000 customers", "us/request", "tokens", GAPS, (n) -> {
			RequestEnd[] ends = ends(n);
			return this.table.micros(OFTEN, (i) -> m.finished(ends[i % ends.length]));
		});
		ResumeTokens tokens = new ResumeTokens(List.of(new ResumeKey("k1", new byte[ResumeKey.MIN_SECRET_BYTES])),
				60_000);
		ResumeClaims claim = new ResumeClaims("lonestar", "decode-0001", "vm-1~1~1", 0, 7);
		String token = tokens.issue(claim, 0);
		this.table.note("issue a resume token", us(this.table.micros(OFTEN, (i) -> tokens.issue(claim, i))));
		this.table.note("verify a resume token", us(this.table.micros(OFTEN, (i) -> verify(tokens, token))));
	}

	private static String us(double v) {
		return String.format(Locale.ROOT, "%.2f us", v);
	}

	private static void verify(ResumeTokens tokens, String token) {
		try {
			tokens.verify(token, "lonestar", 1);
		}
		catch (ResumeException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static ContractTable contractTable(int n) {
		ContractTable t = new ContractTable();
		for (int i = 0; i < n; i++) {
			t.updateIfNewer(ClusterMeasure.terms("c" + i, 1.0 / n).withRevision(1));
		}
		return t;
	}

	private static List<Worker> workers(int n) {
		List<Worker> l = new ArrayList<>();
		for (int i = 0; i < n; i++) {
			WorkerRole role = (i / UPSTREAMS % 3 == 0) ? WorkerRole.PREFILL : WorkerRole.DECODE;
			l.add(new Worker("w" + i, "u" + i % UPSTREAMS, "hall-" + i / UPSTREAMS / 3 % HALLS, role, "127.0.0.1:1", 32,
					0, 0, 0, 0));
		}
		return l;
	}

	private static View view(int n) {
		List<Member> l = new ArrayList<>();
		for (int i = 0; i < n; i++) {
			l.add(new Member("vm-" + i, "hall-" + i % HALLS, "10.0.0.1:" + i, "10.0.1.1:" + i, 1, MemberStatus.ALIVE));
		}
		return new View(l.get(0), l, List.of(), 1);
	}

	private static Shard shard(int n) {
		return Shard.empty(LedgerLimits.DEFAULT, LedgerLimits.DEFAULT.timedSlots()).withIntents(intents(0, n));
	}

	private static List<Intent> intents(int from, int count) {
		List<Intent> l = new ArrayList<>();
		for (int i = from; i < from + count; i++) {
			KeyDigest k = KeyDigest.of(new IntentKey("lonestar", "key-" + i));
			l.add(new Intent(k, k.lo(), 1_790_000_000_000L + i, new Attempt("vm-" + i % 10, 1, i)));
		}
		return l;
	}

	private RecordPart part(int slices, int requests) {
		Recorder r = new Recorder("vm-1", 1, slices);
		for (int i = 0; i < slices * requests; i++) {
			r.finished(end("customer-" + i % slices, 213), 0);
		}
		return r.drainAll().get(0);
	}

	private NodeMetrics metrics(int customers) {
		NodeMetrics m = new NodeMetrics(TOP_CUSTOMERS);
		for (int i = 0; i < customers; i++) {
			m.finished(end("c" + i, 10));
		}
		return m;
	}

	private RequestEnd[] ends(int tokens) {
		RequestEnd[] l = new RequestEnd[1000];
		for (int i = 0; i < l.length; i++) {
			l[i] = end("c" + i * 33, tokens);
		}
		return l;
	}

	private RequestEnd end(String customer, int tokens) {
		long[] gaps = new long[tokens];
		for (int i = 0; i < tokens; i++) {
			gaps[i] = 30_000 + this.random.nextInt(20_000);
		}
		return new RequestEnd(customer, "registration-card", Verdict.MET, 300_000 + this.random.nextInt(900_000), gaps,
				1000, 0);
	}

	private static final class KeyStep {

		private InMemoryLedger ledger = new InMemoryLedger();

		void run(int i) {
			if (i == 0) {
				this.ledger = new InMemoryLedger();
			}
			IntentKey k = new IntentKey("c" + i, "key-" + i);
			this.ledger.begin(k, i, 1, 1000).subscribe();
			this.ledger.recordAnswer(k, new byte[64], 2).subscribe();
		}

	}

}
