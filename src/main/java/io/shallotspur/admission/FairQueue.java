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

import io.shallotspur.queueing.LowerPriorityTurns;

/**
 * Queue of the pending requests of a cell or of a plain upstream. It applies strict
 * priority between levels, start-time fair queueing by weighted cost between the
 * customers of a level, and earliest due time first within a customer. It is work
 * conserving: a customer without competitors may use the full capacity.
 * <p>
 * Invariants: an item is queued at most once; virtual time never decreases; an idle
 * customer accumulates no credit. Adding, removing and charging take O(log n) in the
 * number of customers. Not thread-safe.
 *
 * @param <T> the type of the items
 */
public final class FairQueue<T extends FairQueue.Item> {

	private static final Comparator<Item> BY_DUE_TIME = Comparator.comparingLong(Item::dueAt)
		.thenComparingLong(Item::sequence);

	private static final Comparator<Flow<?>> BY_VIRTUAL_TIME = Comparator
		.<Flow<?>>comparingDouble((flow) -> flow.virtualTime)
		.thenComparing((flow) -> flow.name);

	private static final double MIN_WEIGHT = 1e-6;

	private final ToDoubleFunction<String> weights;

	private final Map<String, Flow<T>> flows = new HashMap<>();

	private final TreeMap<Integer, Level<T>> levels = new TreeMap<>();

	private double virtualTime;

	private int size;

	private final LowerPriorityTurns lowerLevelTurns = new LowerPriorityTurns();

	/**
	 * Creates an empty queue.
	 * @param weights returns the weight of a customer; called on each charge
	 */
	public FairQueue(ToDoubleFunction<String> weights) {
		this.weights = weights;
	}

	/**
	 * Adds an item.
	 * @param item the item
	 */
	public void add(T item) {
		Flow<T> flow = this.flows.computeIfAbsent(item.flow(), (name) -> new Flow<>(name, this.virtualTime));
		if (flow.size == 0) {
			flow.virtualTime = Math.max(flow.virtualTime, this.virtualTime);
		}
		Level<T> level = this.levels.computeIfAbsent(item.priority(), (priority) -> new Level<>());
		TreeSet<T> items = flow.byLevel.computeIfAbsent(item.priority(), (priority) -> new TreeSet<>(BY_DUE_TIME));
		if (items.isEmpty()) {
			level.flows.add(flow);
		}
		if (items.add(item)) {
			flow.size++;
			this.size++;
			level.byDueTime.add(item);
		}
	}

	/**
	 * Removes an item without charging its flow.
	 * @param item the item
	 * @return whether the item was queued
	 */
	public boolean remove(T item) {
		Flow<T> flow = this.flows.get(item.flow());
		TreeSet<T> items = (flow != null) ? flow.byLevel.get(item.priority()) : null;
		Level<T> level = this.levels.get(item.priority());
		if (flow == null || items == null || level == null || !items.remove(item)) {
			return false;
		}
		flow.size--;
		this.size--;
		level.byDueTime.remove(item);
		if (items.isEmpty()) {
			flow.byLevel.remove(item.priority());
			level.flows.remove(flow);
		}
		if (level.flows.isEmpty()) {
			this.levels.remove(item.priority());
		}
		removeIfIdle(flow);
		return true;
	}

	/**
	 * Removes an item that is being started and charges its flow.
	 * @param item the item
	 * @param cost the predicted cost of the item
	 * @return whether the item was queued
	 */
	public boolean dispatch(T item, double cost) {
		Flow<T> flow = this.flows.get(item.flow());
		if (flow == null) {
			return false;
		}
		double startTag = flow.virtualTime;
		if (!remove(item)) {
			return false;
		}
		this.lowerLevelTurns.recordStart();
		this.virtualTime = Math.max(this.virtualTime, Math.min(startTag, minBackloggedVirtualTime()));
		charge(item.flow(), cost);
		return true;
	}

	/**
	 * Charges a flow, for instance for the difference between actual and predicted cost.
	 * @param flowName the name of the flow
	 * @param cost the cost; negative for a refund
	 */
	public void charge(String flowName, double cost) {
		Flow<T> flow = this.flows.computeIfAbsent(flowName, (name) -> new Flow<>(name, this.virtualTime));
		flow.byLevel.keySet().forEach((priority) -> flowsAt(priority).remove(flow));
		flow.virtualTime += cost / Math.max(MIN_WEIGHT, this.weights.applyAsDouble(flowName));
		flow.byLevel.keySet().forEach((priority) -> flowsAt(priority).add(flow));
		removeIfIdle(flow);
	}

	/**
	 * Passes pending items to a predicate in dispatch order until it accepts one or the
	 * maximum number has been examined. For every eighth dispatch the lower level whose
	 * first item is due earliest is examined first, so that a steady load at a higher
	 * level does not starve the lower ones. The selected item stays in the queue.
	 * @param maxCandidates the maximum number of items to examine
	 * @param accept whether to select an item
	 * @return the selected item, or {@code null} if there is none
	 */
	public @Nullable T findNext(int maxCandidates, Predicate<T> accept) {
		Scan<T> scan = new Scan<>(maxCandidates, accept);
		Map.Entry<Integer, Level<T>> lower = preferredLowerLevel();
		if (lower != null) {
			scan.visit(lower.getKey(), lower.getValue());
		}
		for (Map.Entry<Integer, Level<T>> entry : this.levels.entrySet()) {
			if (scan.isDone()) {
				break;
			}
			if (lower == null || !entry.getKey().equals(lower.getKey())) {
				scan.visit(entry.getKey(), entry.getValue());
			}
		}
		return scan.selected;
	}

	/**
	 * Returns the number of pending items.
	 * @return the number of items
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Returns the number of pending items of a flow.
	 * @param flowName the name of the flow
	 * @return the number of items
	 */
	public int size(String flowName) {
		Flow<T> flow = this.flows.get(flowName);
		return (flow != null) ? flow.size : 0;
	}

	/**
	 * Returns all pending items by level, within a level in order of their due times.
	 * @return a new list
	 */
	public List<T> items() {
		List<T> items = new ArrayList<>(this.size);
		this.levels.values().forEach((level) -> items.addAll(level.byDueTime));
		return items;
	}

	/**
	 * Returns the number of flows for which the queue keeps state.
	 * @return the number of flows that have pending items or have used more than their
	 * share
	 */
	public int flowCount() {
		return this.flows.size();
	}

	private Map.@Nullable Entry<Integer, Level<T>> preferredLowerLevel() {
		if (this.levels.size() < 2 || !this.lowerLevelTurns.isDue()) {
			return null;
		}
		Map.Entry<Integer, Level<T>> first = null;
		for (Map.Entry<Integer, Level<T>> entry : this.levels.tailMap(this.levels.firstKey(), false).entrySet()) {
			if (first == null || BY_DUE_TIME.compare(entry.getValue().byDueTime.first(),
					first.getValue().byDueTime.first()) < 0) {
				first = entry;
			}
		}
		return first;
	}

	private TreeSet<Flow<T>> flowsAt(int priority) {
		return this.levels.computeIfAbsent(priority, (key) -> new Level<>()).flows;
	}

	private double minBackloggedVirtualTime() {
		double min = Double.MAX_VALUE;
		for (Level<T> level : this.levels.values()) {
			min = Math.min(min, level.flows.first().virtualTime);
		}
		return min;
	}

	private void removeIfIdle(Flow<T> flow) {
		if (flow.size == 0 && flow.virtualTime <= this.virtualTime) {
			this.flows.remove(flow.name);
		}
	}

	/**
	 * An item of the queue.
	 */
	public interface Item {

		/**
		 * Returns the flow that is charged for this item.
		 * @return the name of the flow, usually the customer
		 */
		String flow();

		/**
		 * Returns the priority level; a smaller number is served first.
		 * @return the priority
		 */
		int priority();

		/**
		 * Returns the due time of this item, which must not change while the item is
		 * queued.
		 * @return the time in milliseconds
		 */
		long dueAt();

		/**
		 * Returns a number that is unique among all items.
		 * @return the number
		 */
		long sequence();

	}

	private static final class Flow<T> {

		private final String name;

		private final TreeMap<Integer, TreeSet<T>> byLevel = new TreeMap<>();

		private double virtualTime;

		private int size;

		Flow(String name, double virtualTime) {
			this.name = name;
			this.virtualTime = virtualTime;
		}

	}

	private static final class Level<T extends Item> {

		private final TreeSet<Flow<T>> flows = new TreeSet<>(BY_VIRTUAL_TIME);

		private final TreeSet<T> byDueTime = new TreeSet<>(BY_DUE_TIME);

	}

	private static final class Scan<T extends Item> {

		private final Predicate<T> accept;

		private int remaining;

		private @Nullable T selected;

		Scan(int maxCandidates, Predicate<T> accept) {
			this.remaining = maxCandidates;
			this.accept = accept;
		}

		boolean isDone() {
			return this.selected != null || this.remaining <= 0;
		}

		void visit(int priority, Level<T> level) {
			for (Flow<T> flow : level.flows) {
				for (T item : flow.byLevel.getOrDefault(priority, new TreeSet<>())) {
					if (isDone()) {
						return;
					}
					this.remaining--;
					if (this.accept.test(item)) {
						this.selected = item;
					}
				}
			}
		}

	}

}
