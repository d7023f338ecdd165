package io.shallotspur.serving;

/**
 * An entry VM as far as the selection of serving VMs is concerned.
 */
public interface ServingCandidate {

	/**
	 * Returns the registration key.
	 * @return the key, unique for each start of a VM
	 */
	String key();

	/**
	 * Returns the hall that the VM runs in.
	 * @return its name
	 */
	String hall();

	/**
	 * Returns the processor cores available to the VM.
	 * @return the number, may be fractional
	 */
	double cores();

	/**
	 * Returns the load that the VM reports.
	 * @return the level
	 */
	LoadLevel loadLevel();

}
