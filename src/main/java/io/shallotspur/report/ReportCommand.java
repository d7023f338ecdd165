package io.shallotspur.report;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;

import reactor.core.Exceptions;

import io.shallotspur.exc.InputException;
import io.shallotspur.exc.ShallotspurException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.port.KvStore;
import io.shallotspur.record.CustomerRecord;
import io.shallotspur.record.RecordReader;

/**
 * The command {@code report}. Immutable.
 */
public final class ReportCommand {

	private static final Duration PATIENCE = Duration.ofMinutes(5);

	private final KvStore store;

	/**
	 * Creates a command.
	 * @param store where the record is kept
	 */
	public ReportCommand(KvStore store) {
		this.store = store;
	}

	/**
	 * Prints whether the terms of a customer were kept. Blocks until the record is read.
	 * @param options the command line
	 * @param out receives the report
	 * @throws ShallotspurException if an option is malformed, the store cannot be read or
	 * the page cannot be written
	 */
	public void run(ReportOptions options, PrintStream out) throws ShallotspurException {
		Instant from = instant(options.getFrom(), "--from");
		Instant to = instant(options.getTo(), "--to");
		if (!from.isBefore(to)) {
			throw new InputException("is " + to + "; allowed: an instant after --from", "--to");
		}
		TermsReport report = TermsReport.of(read(options.getCustomer(), from, to), from, to);
		if (options.isJson()) {
			ReportPrinter.printJson(report, out);
		}
		else {
			ReportPrinter.printTable(report, out);
		}
		Path html = options.getHtml();
		if (html != null) {
			write(html, HtmlPage.write(report));
		}
	}

	private CustomerRecord read(String customer, Instant from, Instant to) throws ShallotspurException {
		try {
			return new RecordReader(this.store).read(customer, from.toEpochMilli(), to.toEpochMilli())
				.blockOptional(PATIENCE)
				.orElseThrow();
		}
		catch (RuntimeException ex) {
			if (Exceptions.unwrap(ex) instanceof ShallotspurException known) {
				throw known;
			}
			throw new StoreUnavailableException("The record could not be read: " + ex.getMessage(), null, ex);
		}
	}

	private static Instant instant(String s, String option) throws InputException {
		try {
			return s.contains("T") ? Instant.parse(s) : LocalDate.parse(s).atStartOfDay(ZoneOffset.UTC).toInstant();
		}
		catch (DateTimeException ex) {
			throw new InputException("is \"" + s + "\"; allowed: a date or an instant in UTC", option, ex);
		}
	}

	private static void write(Path file, String text) throws InputException {
		try {
			Files.writeString(file, text);
		}
		catch (IOException ex) {
			throw new InputException("The page cannot be written: " + ex, file.toString(), ex);
		}
	}

}
