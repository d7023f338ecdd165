package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What a script writes to record.txt. Thread-safe. */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long start = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file), true);
	}

	long ms() {
		return (System.nanoTime() - this.start) / 1_000_000;
	}

	synchronized void line(String text) {
		this.out.printf("%8d ms  %s%n", ms(), text);
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
