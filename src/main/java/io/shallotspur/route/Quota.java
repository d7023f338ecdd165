package io.shallotspur.route;

/**
 * The rate limit of a customer across all VMs together. Immutable.
 *
 * @param unit the unit that is limited
 * @param unitsPerSecond sustained rate in units per second; 0 for no limit
 * @param burst maximum burst after an idle period, in units
 * @param plainRequestTokens number of tokens charged for a request without a prompt, if
 * the unit is tokens
 */
public record Quota(QuotaUnit unit, double unitsPerSecond, double burst, int plainRequestTokens) {

	/** No limit. */
	public static final Quota UNLIMITED = new Quota(QuotaUnit.REQUESTS, 0, 0, 0);

	/**
	 * Returns whether a limit applies.
	 * @return {@code false} if the rate is unlimited
	 */
	public boolean isLimited() {
		return this.unitsPerSecond > 0;
	}

	/**
	 * Returns the cost of a request without a prompt.
	 * @return the cost in units
	 */
	public double plainRequestCost() {
		return (this.unit == QuotaUnit.TOKENS) ? this.plainRequestTokens : 1;
	}

	/**
	 * Returns the cost of a model request.
	 * @param promptTokens number of tokens in its prompt
	 * @param maxOutputTokens maximum number of tokens in its answer
	 * @return the cost in units
	 */
	public double cost(int promptTokens, int maxOutputTokens) {
		return (this.unit == QuotaUnit.TOKENS) ? (double) promptTokens + maxOutputTokens : 1;
	}

}
