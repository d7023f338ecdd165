package io.shallotspur.gateway;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;

/**
 * Replays calls of several VMs to workers of different pace, in virtual time.
 */
final class UnevenFleet {

	static final int SLOTS = 6;

	private static final double WORK_MS = 70;

	private static final double NOISE_FACTOR = 2.5;

	private static final int NOISE_WINDOW_MS = 600;

	private final double[] paces;

	private final double noiseShare;

	// Of the last two workers.
	private final double nearFullFactor;

	private final double callsPerSecond;

	private final boolean[][] noise;

	UnevenFleet(double[] paces, double noiseShare, double nearFullFactor, double utilization) {
		this.paces = paces;
		this.noiseShare = noiseShare;
		this.nearFullFactor = nearFullFactor;
		double perMs = Arrays.stream(paces).map((p) -> SLOTS / (WORK_MS * p * (1 + noiseShare * 1.5))).sum();
		this.callsPerSecond = 1_000 * perMs * utilization;
		SplittableRandom r = new SplittableRandom(3);
		this.noise = new boolean[paces.length][200];
		for (boolean[] windows : this.noise) {
			for (int i = 0; i < windows.length; i++) {
				windows[i] = r.nextDouble() < noiseShare;
			}
		}
	}

	// Durations of the calls in order of arrival, ms.
	double[] replayWithVms(int vms) {
		List<List<WorkerState>> views = new ArrayList<>();
		for (int v = 0; v < vms; v++) {
			views.add(newView());
		}
		return new Replay(views).run();
	}

	double[] replayWithOracle() {
		return new Replay(List.of()).run();
	}

	private List<WorkerState> newView() {
		List<WorkerState> view = new ArrayList<>();
		for (int w = 0; w < this.paces.length; w++) {
			view.add(new WorkerState(new WorkerInfo("w" + w, "plain", "10.0.0." + w, 80, "hall-a", SLOTS,
					WorkerStage.PLAIN, false, 0, 1, "v1"), 0));
		}
		return view;
	}

	static double mean(double[] ms) {
		return Arrays.stream(ms).average().orElseThrow();
	}

	static double p99(double[] ms) {
		return Arrays.stream(ms).sorted().skip(ms.length * 99L / 100).findFirst().orElseThrow();
	}

	private double slowdown(int worker, double at) {
		int i = (int) (at / NOISE_WINDOW_MS + worker * 0.37) % this.noise[worker].length;
		return !this.noise[worker][i] ? 1 : NOISE_FACTOR;
	}

	private record End(double at, double sentAt, int worker, List<WorkerState> view) {

	}

	private final class Replay {

		private static final int CALLS = 20_000;

		private final SplittableRandom random = new SplittableRandom(11);

		private final SplittableRandom choices = new SplittableRandom(12);

		private final double[][] slotFreeAt = new double[UnevenFleet.this.paces.length][SLOTS];

		private final List<List<Double>> starts = new ArrayList<>();

		private final List<List<Double>> ends = new ArrayList<>();

		private final PriorityQueue<End> pending = new PriorityQueue<>(Comparator.comparingDouble(End::at));

		private final List<List<WorkerState>> views;

		Replay(List<List<WorkerState>> views) {
			this.views = views;
			for (int w = 0; w < UnevenFleet.this.paces.length; w++) {
				this.starts.add(new ArrayList<>());
				this.ends.add(new ArrayList<>());
			}
		}

		double[] run() {
			double[] durations = new double[CALLS];
			double now = 0;
			for (int i = 0; i < CALLS; i++) {
				now -= Math.log(1 - this.random.nextDouble()) * 1_000 / UnevenFleet.this.callsPerSecond;
				double work = WORK_MS * Math.exp(0.45 * this.random.nextDouble(-1.7, 1.7));
				int vm = this.random.nextInt(1_000_000);
				reportEndsUntil(now);
				durations[i] = start(now, work, vm) - now;
			}
			// The paces have to be learned first.
			return Arrays.copyOfRange(durations, CALLS / 4, CALLS);
		}

		private double start(double now, double work, int vm) {
			List<WorkerState> view = this.views.isEmpty() ? List.of() : this.views.get(vm % this.views.size());
			int w = view.isEmpty() ? bestWorker((i) -> (int) (1_000 * endAt(i, now, work))) : view
				.indexOf(WorkerSelector.leastCost(view, "hall-a", this.choices::nextDouble, (long) now).orElseThrow());
			double end = endAt(w, now, work);
			int slot = firstFreeSlot(w);
			this.starts.get(w).add(Math.max(now, this.slotFreeAt[w][slot]));
			this.ends.get(w).add(end);
			this.slotFreeAt[w][slot] = end;
			if (!view.isEmpty()) {
				view.get(w).requestStarted();
				this.pending.add(new End(end, now, w, view));
			}
			return end;
		}

		private int bestWorker(ToIntFunction<Integer> cost) {
			int best = 0;
			for (int i = 1; i < UnevenFleet.this.paces.length; i++) {
				best = (cost.applyAsInt(i) >= cost.applyAsInt(best)) ? best : i;
			}
			return best;
		}

		private int firstFreeSlot(int w) {
			int best = 0;
			for (int i = 1; i < SLOTS; i++) {
				best = (this.slotFreeAt[w][i] >= this.slotFreeAt[w][best]) ? best : i;
			}
			return best;
		}

		private double endAt(int w, double now, double work) {
			double startAt = Math.max(now, this.slotFreeAt[w][firstFreeSlot(w)]);
			long busy = Arrays.stream(this.slotFreeAt[w]).filter((t) -> t > startAt).count();
			boolean slows = busy + 1 >= 0.75 * SLOTS && w >= UnevenFleet.this.paces.length - 2;
			double full = slows ? UnevenFleet.this.nearFullFactor : 1;
			return startAt + work * UnevenFleet.this.paces[w] * slowdown(w, startAt) * full;
		}

		private void reportEndsUntil(double now) {
			while (!this.pending.isEmpty() && this.pending.peek().at() <= now) {
				End e = this.pending.remove();
				this.ends.get(e.worker()).removeIf((t) -> t <= e.at());
				this.starts.get(e.worker()).removeIf((t) -> t <= e.at());
				int waiting = this.starts.get(e.worker()).size();
				int running = this.ends.get(e.worker()).size() - waiting;
				OptionalDouble stated = (UnevenFleet.this.noiseShare > 0)
						? OptionalDouble.of(slowdown(e.worker(), e.at())) : OptionalDouble.empty();
				WorkerState w = e.view().get(e.worker());
				long at = (long) e.at();
				w.recordLoad(new LoadReport(running, waiting, SLOTS, stated), at);
				w.recordAnswer(at - e.sentAt(), at);
				w.requestEnded();
				w.recordDuration((long) (e.at() - e.sentAt()));
			}
		}

	}

}
