package io.shallotspur.adapter.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Forwards connections to a port. Open ones can fall silent for good, without a reset,
 * while new ones work. Thread-safe.
 */
final class SilencedRelay implements AutoCloseable {

	private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

	private final int targetPort;

	private final CountDownLatch closedByClient = new CountDownLatch(1);

	private final List<Link> links = new CopyOnWriteArrayList<>();

	SilencedRelay(int targetPort) throws IOException {
		this.targetPort = targetPort;
		startDaemon(this::accept);
	}

	String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	/** Waits until a client has closed a connection. */
	boolean awaitClosedByClient() throws InterruptedException {
		return this.closedByClient.await(10, TimeUnit.SECONDS);
	}

	void silenceOpenConnections() {
		this.links.forEach((l) -> l.silent = true);
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Link l : this.links) {
			l.client.close();
			l.target.close();
		}
	}

	private static void startDaemon(Runnable r) {
		Thread t = new Thread(r);
		t.setDaemon(true);
		t.start();
	}

	private void accept() {
		try {
			while (true) {
				Socket client = this.listener.accept();
				Link l = new Link(client, new Socket(InetAddress.getLoopbackAddress(), this.targetPort));
				this.links.add(l);
				startDaemon(() -> {
					l.pump(l.client, l.target);
					this.closedByClient.countDown();
				});
				startDaemon(() -> l.pump(l.target, l.client));
			}
		}
		catch (IOException ex) {
			// The relay was closed.
		}
	}

	private static final class Link {

		private final Socket client;

		private final Socket target;

		private volatile boolean silent;

		private Link(Socket client, Socket target) {
			this.client = client;
			this.target = target;
		}

		private void pump(Socket from, Socket to) {
			byte[] buffer = new byte[4096];
			try {
				InputStream in = from.getInputStream();
				OutputStream out = to.getOutputStream();
				for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
					if (!this.silent) {
						out.write(buffer, 0, n);
					}
				}
				to.close();
			}
			catch (IOException ex) {
				// One side was closed.
			}
		}

	}

}
