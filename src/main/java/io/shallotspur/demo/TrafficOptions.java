package io.shallotspur.demo;

import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Option;

/**
 * Options of the traffic command. A bean that args4j fills; not thread-safe.
 */
public final class TrafficOptions {

	@Option(name = "--caller", required = true, metaVar = "HOST:PORT", usage = "an entry VM; once for each")
	private List<String> callers = new ArrayList<>();

	@Option(name = "--engine", metaVar = "HOST:PORT", usage = "an engine stand-in, asked for what it holds")
	private List<String> engines = new ArrayList<>();

	@Option(name = "--plain", metaVar = "HOST:PORT", usage = "a plain stand-in, asked what it ran; once for each")
	private List<String> plain = new ArrayList<>();

	@Option(name = "--seconds", metaVar = "N", usage = "how long traffic is sent (default 10)")
	private int seconds = 10;

	@Option(name = "--seed", metaVar = "N", usage = "seed of the traffic (default 1)")
	private long seed = 1;

	@Option(name = "--json", usage = "print the result as one JSON object")
	private boolean json;

	List<String> getCallers() {
		return this.callers;
	}

	List<String> getEngines() {
		return this.engines;
	}

	List<String> getPlain() {
		return this.plain;
	}

	int getSeconds() {
		return this.seconds;
	}

	long getSeed() {
		return this.seed;
	}

	boolean isJson() {
		return this.json;
	}

}
