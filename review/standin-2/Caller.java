import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * One connection of a caller, kept for many requests. Not thread-safe. A request whose
 * connection ends before its answer is complete has the status {@link #CLOSED}.
 */
final class Caller implements AutoCloseable {

	static final int CLOSED = -1;

	static final int NO_ANSWER = -2;

	private final int port;

	private Socket socket;

	private InputStream in;

	private int answered;

	private String body = "";

	Caller(int port) {
		this.port = port;
	}

	/** Whether a request has been answered on the present connection. */
	boolean isKept() {
		return this.socket != null && this.answered > 0;
	}

	/**
	 * Sends a request and reads its answer.
	 * @param pauseMs how long to pause after each 64 KiB of the body
	 */
	int post(String host, String path, String id, long deadlineMs, byte[] body, long pauseMs)
			throws InterruptedException {
		try {
			if (this.socket == null) {
				connect();
			}
			OutputStream out = this.socket.getOutputStream();
			this.socket.setSoTimeout((int) deadlineMs);
			out.write(("POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
					+ deadlineMs + "\r\nContent-Length: " + body.length + "\r\n\r\n")
				.getBytes(StandardCharsets.US_ASCII));
			for (int at = 0; at < body.length && this.in.available() == 0; at += 64 << 10) {
				out.write(body, at, Math.min(64 << 10, body.length - at));
				Thread.sleep(pauseMs);
			}
			return answer();
		}
		catch (SocketTimeoutException ex) {
			close();
			return NO_ANSWER;
		}
		catch (IOException ex) {
			close();
			return CLOSED;
		}
	}

	/** The body of the latest answer. */
	String body() {
		return this.body;
	}

	private void connect() throws IOException {
		this.socket = new Socket();
		this.socket.setTcpNoDelay(true);
		this.socket.connect(new InetSocketAddress("127.0.0.1", this.port), 1_000);
		this.in = new BufferedInputStream(this.socket.getInputStream());
		this.answered = 0;
	}

	private int answer() throws IOException {
		int status = Integer.parseInt(line().split(" ")[1]);
		long length = 0;
		boolean closes = false;
		for (String l = line(); !l.isEmpty(); l = line()) {
			String field = l.toLowerCase(Locale.ROOT);
			if (field.startsWith("content-length:")) {
				length = Long.parseLong(field.substring("content-length:".length()).strip());
			}
			closes |= field.startsWith("connection:") && field.contains("close");
		}
		byte[] bytes = this.in.readNBytes((int) length);
		if (bytes.length < length) {
			throw new IOException("The answer ends early.");
		}
		this.body = new String(bytes, StandardCharsets.ISO_8859_1);
		this.answered++;
		if (closes) {
			close();
		}
		return status;
	}

	private String line() throws IOException {
		StringBuilder b = new StringBuilder();
		for (int c = this.in.read(); c != '\n'; c = this.in.read()) {
			if (c < 0) {
				throw new IOException("The connection ended.");
			}
			b.append((char) c);
		}
		return b.toString().strip();
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// It is closed all the same.
		}
		this.socket = null;
	}

}
