package io.shallotspur.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Answers each connection, after its first bytes, with a beginning and then with the same
 * filler until the other side closes, or too much was sent. Thread-safe.
 */
final class EndlessServer implements AutoCloseable {

	/** More than a client takes that stops reading, in bytes. */
	static final long TOO_MANY_BYTES = 64L << 20;

	private static final int WRITE_BYTES = 16 << 10;

	final AtomicLong sentBytes = new AtomicLong();

	final AtomicInteger open = new AtomicInteger();

	final AtomicInteger accepted = new AtomicInteger();

	private final ServerSocket listener;

	private final byte[] beginning;

	private final byte[] filler;

	EndlessServer(String beginning, String filler) {
		this.beginning = beginning.getBytes(StandardCharsets.US_ASCII);
		byte[] unit = filler.getBytes(StandardCharsets.US_ASCII);
		this.filler = new byte[WRITE_BYTES / unit.length * unit.length];
		for (int i = 0; i < this.filler.length; i++) {
			this.filler[i] = unit[i % unit.length];
		}
		try {
			this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		startDaemon(this::acceptConnections);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	boolean hasSentTooMuch() {
		return this.sentBytes.get() >= TOO_MANY_BYTES;
	}

	private static void startDaemon(Runnable task) {
		Thread t = new Thread(task, "endless-server");
		t.setDaemon(true);
		t.start();
	}

	private void acceptConnections() {
		try {
			while (true) {
				Socket s = this.listener.accept();
				this.open.incrementAndGet();
				this.accepted.incrementAndGet();
				startDaemon(() -> answer(s));
			}
		}
		catch (IOException ex) {
			// The test has ended.
		}
	}

	private void answer(Socket s) {
		try (s) {
			byte[] first = new byte[1];
			if (s.getInputStream().read(first) < 0) {
				return;
			}
			OutputStream out = s.getOutputStream();
			out.write(this.beginning);
			while (!hasSentTooMuch()) {
				out.write(Arrays.copyOf(this.filler, this.filler.length));
				this.sentBytes.addAndGet(this.filler.length);
			}
		}
		catch (IOException ex) {
			// The other side has closed, as it should.
		}
		finally {
			this.open.decrementAndGet();
		}
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

}
