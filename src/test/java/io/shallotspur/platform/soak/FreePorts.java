package io.shallotspur.platform.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Chooses ports for VMs, each once. They are below the ephemeral range: an ephemeral port
 * could be assigned to an outgoing connection while its VM is down, and the VM could not
 * start again. Not thread-safe.
 */
final class FreePorts {

	private static final int FIRST_PORT = 18_000;

	private static final int PORT_COUNT = 14_000;

	private final Set<Integer> chosen = new HashSet<>();

	int[] choose(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		while (sockets.size() < count) {
			int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
			if (this.chosen.contains(port)) {
				continue;
			}
			try {
				sockets.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
				this.chosen.add(port);
			}
			catch (BindException ex) {
				// The port is in use; the loop tries another one.
			}
		}
		int[] ports = sockets.stream().mapToInt(ServerSocket::getLocalPort).toArray();
		for (ServerSocket s : sockets) {
			s.close();
		}
		return ports;
	}

}
