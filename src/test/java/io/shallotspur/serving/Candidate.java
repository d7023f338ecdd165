package io.shallotspur.serving;

/**
 * A VM to select from.
 */
record Candidate(String key, String hall, double cores, LoadLevel loadLevel) implements ServingCandidate {

	Candidate withLevel(LoadLevel level) {
		return new Candidate(this.key, this.hall, this.cores, level);
	}

}
