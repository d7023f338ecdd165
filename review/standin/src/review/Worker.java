package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in of a worker. What it does with a request is up to its handler. */
final class Worker {

	final String id;

	private final Handler handler;

	private final AtomicLong entries = new AtomicLong();

	// One listener for each machine, as if each had a network path of its own.
	private final Map<String, Link> links = new LinkedHashMap<>();

	Worker(String id, Handler handler, String... machines) throws IOException {
		this.id = id;
		this.handler = handler;
		for (String m : machines) {
			this.links.put(m, new Link(m));
		}
	}

	/** Returns the address at which one machine reaches this worker. */
	String address(String machine) {
		return this.links.get(machine).address();
	}

	/** Cuts the path from one machine: connections are reset, new ones refused. */
	void cut(String machine) throws IOException {
		this.links.get(machine).cut();
	}

	void heal(String machine) throws IOException {
		this.links.get(machine).listen();
	}

	static void thread(String name, Runnable task) {
		Thread t = new Thread(task, name);
		t.setDaemon(true);
		t.start();
	}

	/** Writes the worker's entry, as it does itself on the platform. */
	void register(Store store, String service, String zone, int slots, String stage) {
		String address = address(this.links.keySet().iterator().next());
		store.put("servers/" + this.id, "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\""
				+ zone + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"ready\",\"cold_remaining_ms\":0,"
				+ ((stage != null) ? "\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,"
						+ "\"adapters\":[]}]," : "")
				+ "\"sequence_number\":" + this.entries.incrementAndGet() + "}");
	}

	private void serve(Socket s, String machine) {
		try (s) {
			s.setTcpNoDelay(true);
			InputStream in = new BufferedInputStream(s.getInputStream(), 64 << 10);
			OutputStream out = s.getOutputStream();
			for (Http.Message q = Http.read(in); q != null; q = Http.read(in)) {
				String expected = q.field("X-Expect-Instance", this.id);
				if (!expected.equals(this.id)) {
					send(out, "421 Misdirected Request", "X-Instance-Id: " + this.id + "\r\n", new byte[0]);
					continue;
				}
				this.handler.handle(machine, q, out);
			}
		}
		catch (IOException ex) {
			// The VM has closed the connection; the request on it is dropped.
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	static void send(OutputStream out, String status, String fields, byte[] body) throws IOException {
		out.write(message(status, fields, body));
		out.flush();
	}

	/** Returns a whole answer. */
	static byte[] message(String status, String fields, byte[] body) {
		byte[] head = ("HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = Arrays.copyOf(head, head.length + body.length);
		System.arraycopy(body, 0, all, head.length, body.length);
		return all;
	}

	/** The fields of a signed answer to a request. */
	static String signed(Http.Message q) {
		return "X-Request-Id: " + q.field("X-Request-Id", "") + "\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
				+ "Content-Type: application/octet-stream\r\n";
	}

	/** Answers a request. */
	interface Handler {

		void handle(String machine, Http.Message q, OutputStream out) throws IOException, InterruptedException;

	}

	/** The path of one machine to this worker. */
	private final class Link {

		private final String machine;

		private final Set<Socket> open = ConcurrentHashMap.newKeySet();

		private final int port;

		private volatile ServerSocket listener;

		Link(String machine) throws IOException {
			this.machine = machine;
			try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				this.port = s.getLocalPort();
			}
			listen();
		}

		String address() {
			return "127.0.0.1:" + this.port;
		}

		void listen() throws IOException {
			ServerSocket s = new ServerSocket();
			s.setReuseAddress(true);
			s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.port), 512);
			this.listener = s;
			thread("accept " + Worker.this.id, () -> accept(s));
		}

		private void accept(ServerSocket from) {
			while (true) {
				try {
					Socket s = from.accept();
					this.open.add(s);
					thread("worker " + Worker.this.id, () -> {
						serve(s, this.machine);
						this.open.remove(s);
					});
				}
				catch (IOException ex) {
					return;
				}
			}
		}

		void cut() throws IOException {
			this.listener.close();
			for (Socket s : this.open) {
				try {
					s.setSoLinger(true, 0);
					s.close();
				}
				catch (SocketException ex) {
					// Its other end has closed it meanwhile.
				}
			}
		}

	}

}
