package io.shallotspur.serving;

/**
 * The load that a VM reports to the others. Each change is written to the store and read
 * by all VMs, so there are few levels. The ordinals are the numbers that are stored.
 */
public enum LoadLevel {

	/** Requests do not wait for the VM's processor. */
	NORMAL(0),

	/** Requests wait for the VM's processor; another VM is needed beside it. */
	OVERLOADED(0),

	/** Its processor is used up; it should keep at most a quarter of its callers. */
	SATURATED(3);

	private final int extraCapacity;

	LoadLevel(int extraCapacity) {
		this.extraCapacity = extraCapacity;
	}

	/**
	 * Returns the capacity that the callers of a VM at this level need on other VMs.
	 * @return a multiple of the VM's own capacity
	 */
	int extraCapacity() {
		return this.extraCapacity;
	}

	/**
	 * Returns the next lower level.
	 * @return the level, or this one if it is the lowest
	 */
	LoadLevel lower() {
		return (this == NORMAL) ? NORMAL : values()[ordinal() - 1];
	}

	/**
	 * Returns the level with a number, as stored.
	 * @param number the number; those above the highest level stand for the highest
	 * @return the level
	 */
	public static LoadLevel of(long number) {
		return values()[(int) Math.max(0, Math.min(number, values().length - 1))];
	}

}
