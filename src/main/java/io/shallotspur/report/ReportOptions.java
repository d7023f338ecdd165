package io.shallotspur.report;

import java.nio.file.Path;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/**
 * The command line of {@code report}. Filled by args4j; not thread-safe.
 */
public class ReportOptions {

	@Option(name = "--customer", required = true, metaVar = "NAME", usage = "whose terms")
	private String customer = "";

	@Option(name = "--from", required = true, metaVar = "INSTANT",
			usage = "first instant, such as 2026-12-02 or 2026-12-02T08:00:00Z")
	private String from = "";

	@Option(name = "--to", required = true, metaVar = "INSTANT", usage = "first instant that is no longer wanted")
	private String to = "";

	@Option(name = "--json", usage = "print one JSON object instead of a table")
	private boolean json;

	@Option(name = "--html", metaVar = "FILE", usage = "write a page with plots besides")
	private @Nullable Path html;

	/**
	 * Returns the customer.
	 * @return the name
	 */
	public String getCustomer() {
		return this.customer;
	}

	/**
	 * Returns the first instant.
	 * @return an instant or a date, not yet checked
	 */
	public String getFrom() {
		return this.from;
	}

	/**
	 * Returns the first instant that is no longer wanted.
	 * @return an instant or a date, not yet checked
	 */
	public String getTo() {
		return this.to;
	}

	/**
	 * Sets what is reported.
	 * @param customer the customer
	 * @param from the first instant
	 * @param to the first instant that is no longer wanted
	 */
	public void setRange(String customer, String from, String to) {
		this.customer = customer;
		this.from = from;
		this.to = to;
	}

	/**
	 * Returns whether to print JSON.
	 * @return {@code false} for a table
	 */
	public boolean isJson() {
		return this.json;
	}

	/**
	 * Sets whether to print JSON.
	 * @param json {@code false} for a table
	 */
	public void setJson(boolean json) {
		this.json = json;
	}

	/**
	 * Returns where the page goes.
	 * @return the file, or {@code null} for no page
	 */
	public @Nullable Path getHtml() {
		return this.html;
	}

	/**
	 * Sets where the page goes.
	 * @param html the file, or {@code null} for no page
	 */
	public void setHtml(@Nullable Path html) {
		this.html = html;
	}

}
