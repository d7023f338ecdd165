package io.shallotspur.demo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A streamed answer as its caller reads it. Confined to one subscription.
 */
final class DemoAnswer {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final double P95 = 0.95;

	private final long start;

	private final StringBuilder text = new StringBuilder();

	private final List<Long> gapsMs = new ArrayList<>();

	private String pending = "";

	private String resumeToken = "";

	private long lastId = -1;

	private long lastToken;

	private long ttftMs;

	private boolean whole;

	private boolean refused;

	private boolean notRun;

	/**
	 * Creates an answer.
	 * @param start when the request was sent, by {@link System#nanoTime()}
	 */
	DemoAnswer(long start) {
		this.start = start;
	}

	/**
	 * Takes bytes of the event stream.
	 * @param bytes the bytes, as text
	 */
	void take(String bytes) {
		String all = this.pending + bytes;
		int end = all.lastIndexOf("\n\n") + 2;
		if (end < 2) {
			this.pending = all;
			return;
		}
		this.pending = all.substring(end);
		for (String e : all.substring(0, end).split("\n\n")) {
			event(e);
		}
	}

	/**
	 * Takes a problem document.
	 * @param json the document
	 */
	void problem(String json) {
		this.refused = true;
		this.notRun = json(json).path("outcome").asText().equals("not_run");
	}

	/**
	 * Returns what lets the caller get the rest elsewhere.
	 * @return the token, or empty before the first event
	 */
	String resumeToken() {
		return this.resumeToken;
	}

	/**
	 * Returns the id of the last event, as a header wants it.
	 * @return the id, or -1 before the first token
	 */
	long lastId() {
		return this.lastId;
	}

	/**
	 * Begins a new connection: what was half received on the old one is dropped.
	 */
	void reconnected() {
		this.pending = "";
	}

	/**
	 * Begins again from nothing, because no token can be had that belongs to what is
	 * there.
	 */
	void restarted() {
		this.pending = "";
		this.resumeToken = "";
		this.lastId = -1;
		this.text.setLength(0);
		this.refused = false;
	}

	boolean isWhole() {
		return this.whole;
	}

	boolean isRefused() {
		return this.refused;
	}

	boolean isNotRun() {
		return this.notRun;
	}

	String text() {
		return this.text.toString();
	}

	long ttftMs() {
		return this.ttftMs;
	}

	List<Long> gapsMs() {
		return this.gapsMs;
	}

	long p95GapMs() {
		if (this.gapsMs.isEmpty()) {
			return 0;
		}
		List<Long> sorted = new ArrayList<>(this.gapsMs);
		Collections.sort(sorted);
		return sorted.get((int) Math.min(sorted.size() - 1, Math.ceil(P95 * sorted.size()) - 1));
	}

	long totalMs() {
		return millis(this.lastToken - this.start);
	}

	private void event(String e) {
		String data = e.substring(e.indexOf("data: ") + "data: ".length());
		if (e.startsWith("event: error")) {
			problem(data);
		}
		else if (data.equals("[DONE]")) {
			this.whole = true;
		}
		else if (e.startsWith("id: ")) {
			this.lastId = Long.parseLong(e.substring("id: ".length(), e.indexOf('\n')));
			token(json(data).at("/choices/0/text").asText());
		}
		else {
			String t = json(data).path("shallotspur_resume").asText();
			this.resumeToken = t.isEmpty() ? this.resumeToken : t;
		}
	}

	private void token(String t) {
		long now = System.nanoTime();
		if (this.lastToken == 0) {
			this.ttftMs = millis(now - this.start);
		}
		else {
			this.gapsMs.add(millis(now - this.lastToken));
		}
		this.lastToken = now;
		this.text.append(t);
	}

	private static long millis(long nanos) {
		return Duration.ofNanos(nanos).toMillis();
	}

	private static JsonNode json(String text) {
		try {
			return MAPPER.readTree(text);
		}
		catch (JsonProcessingException ex) {
			return MAPPER.createObjectNode();
		}
	}

}
