package io.shallotspur.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

import org.jspecify.annotations.Nullable;

/**
 * The waiting work of a cell or of a plain upstream: strict priority between levels,
 * start-time fair queueing by weighted cost between the customers of a level, earliest
 * due first within a customer. Work conserving: a customer that waits alone gets all.
 * <p>
 * Invariants: an item is held once at most; virtual time never runs back; a customer that
 * was idle gains no claim from it. Adding, removing and charging take O(log n) in the
 * number of customers. Not thread-safe.
 *
 * @param <T> the type of the items
 */
public final class FairQueue<T extends FairQueue.Item> {

	private static final Comparator<Item> BY_DUE = Comparator.comparingLong(Item::dueAt)
		.thenComparingLong(Item::sequence);

	private static final Comparator<Flow<?>> BY_VIRTUAL = Comparator.<Flow<?>>comparingDouble((f) -> f.virtual)
		.thenComparing((f) -> f.name);

	private static final double MIN_WEIGHT = 1e-6;

	private static final int LOWER_EVERY = 8;

	private final ToDoubleFunction<String> weights;

	private final Map<String, Flow<T>> flows = new HashMap<>();

	private final TreeMap<Integer, Level<T>> levels = new TreeMap<>();

	private double virtual;

	private int size;

	private int starts;

	/**
	 * Creates an empty queue.
	 * @param weights the weight of a customer, asked whenever it is charged
	 */
	public FairQueue(ToDoubleFunction<String> weights) {
		this.weights = weights;
	}

	/**
	 * Adds an item.
	 * @param item the item
	 */
	public void add(T item) {
		Flow<T> f = this.flows.computeIfAbsent(item.flow(), (c) -> new Flow<>(c, this.virtual));
		if (f.size == 0) {
			f.virtual = Math.max(f.virtual, this.virtual);
		}
		Level<T> level = this.levels.computeIfAbsent(item.priority(), (p) -> new Level<>());
		TreeSet<T> items = f.byLevel.computeIfAbsent(item.priority(), (p) -> new TreeSet<>(BY_DUE));
		if (items.isEmpty()) {
			level.flows.add(f);
		}
		if (items.add(item)) {
			f.size++;
			this.size++;
			level.byDue.add(item);
		}
	}

	/**
	 * Removes an item, without a charge.
	 * @param item the item
	 * @return whether it was held
	 */
	public boolean remove(T item) {
		Flow<T> f = this.flows.get(item.flow());
		TreeSet<T> items = (f != null) ? f.byLevel.get(item.priority()) : null;
		Level<T> level = this.levels.get(item.priority());
		if (f == null || items == null || level == null || !items.remove(item)) {
			return false;
		}
		f.size--;
		this.size--;
		level.byDue.remove(item);
		if (items.isEmpty()) {
			f.byLevel.remove(item.priority());
			level.flows.remove(f);
		}
		if (level.flows.isEmpty()) {
			this.levels.remove(item.priority());
		}
		forgetIfIdle(f);
		return true;
	}

	/**
	 * Removes an item that is started, and charges its flow.
	 * @param item the item
	 * @param cost its predicted cost
	 * @return whether it was held
	 */
	public boolean dispatch(T item, double cost) {
		Flow<T> f = this.flows.get(item.flow());
		if (f == null) {
			return false;
		}
		double startTag = f.virtual;
		if (!remove(item)) {
			return false;
		}
		this.starts++;
		this.virtual = Math.max(this.virtual, Math.min(startTag, leastBacklogged()));
		charge(item.flow(), cost);
		return true;
	}

	/**
	 * Charges a flow, for instance the difference between true and predicted cost.
	 * @param flow the name of the flow
	 * @param cost the cost, negative to give some back
	 */
	public void charge(String flow, double cost) {
		Flow<T> f = this.flows.computeIfAbsent(flow, (c) -> new Flow<>(c, this.virtual));
		f.byLevel.keySet().forEach((p) -> flows(p).remove(f));
		f.virtual += cost / Math.max(MIN_WEIGHT, this.weights.applyAsDouble(flow));
		f.byLevel.keySet().forEach((p) -> flows(p).add(f));
		forgetIfIdle(f);
	}

	/**
	 * Offers waiting items in the order in which they should start, until one is taken or
	 * enough have been offered. One start in eight is offered to the lower levels first,
	 * so that a steady load of higher ones does not starve them.
	 * @param most the most items to offer
	 * @param taken tells whether to stop at an item
	 * @return the item that was taken, or {@code null}
	 */
	public @Nullable T findNext(int most, Predicate<T> taken) {
		Offer<T> offer = new Offer<>(most, taken);
		Map.Entry<Integer, Level<T>> lower = lowerTurn();
		if (lower != null) {
			offer.level(lower.getKey(), lower.getValue());
		}
		for (Map.Entry<Integer, Level<T>> e : this.levels.entrySet()) {
			if (offer.done()) {
				break;
			}
			if (lower == null || !e.getKey().equals(lower.getKey())) {
				offer.level(e.getKey(), e.getValue());
			}
		}
		return offer.chosen;
	}

	/**
	 * Returns how many items wait.
	 * @return the number of items
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns how many items of a flow wait.
	 * @param flow the name of the flow
	 * @return the number of items
	 */
	public int size(String flow) {
		Flow<T> f = this.flows.get(flow);
		return (f != null) ? f.size : 0;
	}

	/**
	 * Returns all waiting items, level by level, the first due first.
	 * @return a new list
	 */
	public List<T> items() {
		List<T> l = new ArrayList<>(this.size);
		this.levels.values().forEach((v) -> l.addAll(v.byDue));
		return l;
	}

	/**
	 * Returns how many flows are remembered.
	 * @return the number of flows that wait or have been served more than their share
	 */
	public int flowCount() {
		return this.flows.size();
	}

	private Map.@Nullable Entry<Integer, Level<T>> lowerTurn() {
		if (this.levels.size() < 2 || this.starts % LOWER_EVERY != LOWER_EVERY - 1) {
			return null;
		}
		Map.Entry<Integer, Level<T>> first = null;
		for (Map.Entry<Integer, Level<T>> e : this.levels.tailMap(this.levels.firstKey(), false).entrySet()) {
			if (first == null || BY_DUE.compare(e.getValue().byDue.first(), first.getValue().byDue.first()) < 0) {
				first = e;
			}
		}
		return first;
	}

	private TreeSet<Flow<T>> flows(int priority) {
		return this.levels.computeIfAbsent(priority, (p) -> new Level<>()).flows;
	}

	private double leastBacklogged() {
		double least = Double.MAX_VALUE;
		for (Level<T> level : this.levels.values()) {
			least = Math.min(least, level.flows.first().virtual);
		}
		return least;
	}

	private void forgetIfIdle(Flow<T> f) {
		if (f.size == 0 && f.virtual <= this.virtual) {
			this.flows.remove(f.name);
		}
	}

	/**
	 * Something that waits.
	 */
	public interface Item {

		/**
		 * Returns whose share it is charged to.
		 * @return the name of the flow, usually the customer
		 */
		String flow();

		/**
		 * Returns the level; a smaller number goes first.
		 * @return the priority
		 */
		int priority();

		/**
		 * Returns when it has to have started; fixed while the item waits.
		 * @return the time in milliseconds
		 */
		long dueAt();

		/**
		 * Returns a number that no other item has.
		 * @return the number
		 */
		long sequence();

	}

	private static final class Flow<T> {

		private final String name;

		private final TreeMap<Integer, TreeSet<T>> byLevel = new TreeMap<>();

		private double virtual;

		private int size;

		Flow(String name, double virtual) {
			this.name = name;
			this.virtual = virtual;
		}

	}

	private static final class Level<T extends Item> {

		private final TreeSet<Flow<T>> flows = new TreeSet<>(BY_VIRTUAL);

		private final TreeSet<T> byDue = new TreeSet<>(BY_DUE);

	}

	private static final class Offer<T extends Item> {

		private final Predicate<T> taken;

		private int left;

		private @Nullable T chosen;

		Offer(int most, Predicate<T> taken) {
			this.left = most;
			this.taken = taken;
		}

		boolean done() {
			return this.chosen != null || this.left <= 0;
		}

		void level(int priority, Level<T> level) {
			for (Flow<T> f : level.flows) {
				for (T item : f.byLevel.getOrDefault(priority, new TreeSet<>())) {
					if (done()) {
						return;
					}
					this.left--;
					if (this.taken.test(item)) {
						this.chosen = item;
					}
				}
			}
		}

	}

}
