package io.shallotspur.replay;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Option;

/**
 * The command line of the routing measurement. Filled by args4j; not thread-safe.
 */
public class SweepOptions {

	@Option(name = "--case", required = true, metaVar = "PATH",
			usage = "PATH.jsonl, PATH.fleet.toml and PATH.contracts.toml; may be repeated")
	private List<Path> cases = new ArrayList<>();

	@Option(name = "--seeds", metaVar = "N", usage = "replays of each point, with seeds 1 to N")
	private int seeds = 3;

	@Option(name = "--loads", metaVar = "LIST", usage = "load factors, with commas between them")
	private String loads = "0.5,1,1.5,2,3";

	@Option(name = "--out", metaVar = "DIR", usage = "where routing.md and the plots go")
	private Path out = Path.of("docs/measurements");

	/**
	 * Returns the cases.
	 * @return paths without their endings
	 */
	public List<Path> getCases() {
		return List.copyOf(this.cases);
	}

	/**
	 * Sets the cases.
	 * @param cases paths without their endings
	 */
	public void setCases(List<Path> cases) {
		this.cases = new ArrayList<>(cases);
	}

	/**
	 * Returns how many seeds each point is replayed with.
	 * @return the number of seeds
	 */
	public int getSeeds() {
		return this.seeds;
	}

	/**
	 * Sets how many seeds each point is replayed with.
	 * @param seeds the number of seeds
	 */
	public void setSeeds(int seeds) {
		this.seeds = seeds;
	}

	/**
	 * Returns the load factors.
	 * @return the factors, not yet checked
	 */
	public String getLoads() {
		return this.loads;
	}

	/**
	 * Sets the load factors.
	 * @param loads the factors, with commas between them
	 */
	public void setLoads(String loads) {
		this.loads = loads;
	}

	/**
	 * Returns where the results go.
	 * @return the directory
	 */
	public Path getOut() {
		return this.out;
	}

	/**
	 * Sets where the results go.
	 * @param out the directory
	 */
	public void setOut(Path out) {
		this.out = out;
	}

}
