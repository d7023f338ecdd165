package io.shallotspur.route;

/**
 * How much a customer may ask for, over all VMs together. Immutable.
 *
 * @param unit what is counted
 * @param unitsPerSecond what may be asked for in a second, in units; 0 for no limit
 * @param burst what may be asked for at once after a pause, in units
 * @param plainRequestTokens the tokens that a request without a prompt counts as, where tokens
 * are counted
 */
public record Quota(QuotaUnit unit, double unitsPerSecond, double burst, int plainRequestTokens) {

	/** No limit. */
	public static final Quota UNLIMITED = new Quota(QuotaUnit.REQUESTS, 0, 0, 0);

	/**
	 * Tells whether there is a limit.
	 * @return {@code false} if everything may be asked for
	 */
	public boolean isLimited() {
		return this.unitsPerSecond > 0;
	}

	/**
	 * Returns what a request without a prompt takes.
	 * @return units
	 */
	public double plainRequestCost() {
		return (this.unit == QuotaUnit.TOKENS) ? this.plainRequestTokens : 1;
	}

	/**
	 * Returns what a model request takes.
	 * @param promptTokens tokens of its prompt
	 * @param maxOutputTokens the most tokens of its answer
	 * @return units
	 */
	public double cost(int promptTokens, int maxOutputTokens) {
		return (this.unit == QuotaUnit.TOKENS) ? (double) promptTokens + maxOutputTokens : 1;
	}

}
