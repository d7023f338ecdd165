package io.shallotspur.platform.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Passes connections on to a port of this machine, and fails as it is told. Thread-safe.
 */
final class LoopbackProxy {

	private static final int BUFFER = 16 << 10;

	private static final long CHECK_MS = 20;

	private static final long DELAY_MS = 250;

	private final ServerSocket listener;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private volatile int target;

	private volatile Mode mode = Mode.PASS;

	LoopbackProxy(int target) throws IOException {
		this.target = target;
		this.listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
		daemon(this::accept);
	}

	int port() {
		return this.listener.getLocalPort();
	}

	void target(int port) {
		this.target = port;
	}

	void mode(Mode next) {
		this.mode = next;
	}

	/**
	 * Resets all connections.
	 */
	void reset() {
		this.open.forEach(LoopbackProxy::reset);
	}

	void stop() {
		reset();
		close(this.listener);
	}

	private static void daemon(Runnable r) {
		Thread t = new Thread(r, "proxy");
		t.setDaemon(true);
		t.start();
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket near = this.listener.accept();
				daemon(() -> join(near));
			}
			catch (IOException ex) {
				// Closed: the run is over.
				return;
			}
		}
	}

	private void join(Socket near) {
		Socket far;
		try {
			near.setTcpNoDelay(true);
			far = new Socket(InetAddress.getLoopbackAddress(), this.target);
			far.setTcpNoDelay(true);
		}
		catch (IOException ex) {
			// Nobody listens there: the caller sees its connection reset, as it would.
			reset(near);
			return;
		}
		this.open.add(near);
		this.open.add(far);
		daemon(() -> pump(near, far, false));
		daemon(() -> pump(far, near, true));
	}

	private void pump(Socket from, Socket to, boolean back) {
		byte[] buf = new byte[BUFFER];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int n = in.read(buf); n >= 0; n = in.read(buf)) {
				hold(back);
				out.write(buf, 0, n);
			}
			hold(back);
			to.shutdownOutput();
		}
		catch (IOException | InterruptedException ex) {
			// One side is gone; so is the other.
			reset(from);
			reset(to);
		}
		finally {
			this.open.remove(from);
		}
	}

	private void hold(boolean back) throws InterruptedException {
		if (this.mode == Mode.DELAY) {
			Thread.sleep(DELAY_MS);
		}
		while (this.mode == Mode.SILENT || (this.mode == Mode.ONE_WAY && back)) {
			Thread.sleep(CHECK_MS);
		}
	}

	private static void reset(Socket s) {
		try {
			s.setSoLinger(true, 0);
		}
		catch (IOException ex) {
			// Closed already.
		}
		close(s);
	}

	private static void close(AutoCloseable c) {
		try {
			c.close();
		}
		catch (Exception ex) {
			// It is gone either way.
		}
	}

	/**
	 * What passes.
	 */
	enum Mode {

		PASS, DELAY, ONE_WAY, SILENT

	}

}
