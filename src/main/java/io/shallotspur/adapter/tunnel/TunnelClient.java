package io.shallotspur.adapter.tunnel;

import java.net.InetSocketAddress;

import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.tcp.TcpClient;

/**
 * Opens tunnels to workers. Stateless.
 * <p>
 * Each call has a tunnel of its own, which ends with it: a VM that drains then only has
 * to wait for the calls in progress.
 */
public final class TunnelClient {

	private TunnelClient() {
	}

	/**
	 * Returns a client whose calls to a worker go through another VM.
	 * @param base the client; it must open a connection for each call
	 * @param vm the address at which the other VM accepts tunnels
	 * @param request the worker
	 * @return the client; its calls fail with a {@link TunnelException} if the tunnel
	 * cannot be opened
	 */
	public static HttpClient through(HttpClient base, InetSocketAddress vm, TunnelRequest request) {
		return base.resolver(new FixedAddressResolver(vm))
			.doOnChannelInit(
					(observer, c, remote) -> TunnelCodec.install(c.pipeline(), new TunnelClientHandler(request)));
	}

	/**
	 * Opens a tunnel and closes it at once, to find out whether the other VM reaches the
	 * worker.
	 * @param base the client
	 * @param vm the address at which the other VM accepts tunnels
	 * @param request the worker
	 * @return the status; signals an error if the other VM itself cannot be connected
	 */
	public static Mono<TunnelStatus> check(TcpClient base, InetSocketAddress vm, TunnelRequest request) {
		return base.remoteAddress(() -> vm)
			.doOnChannelInit(
					(observer, c, remote) -> TunnelCodec.install(c.pipeline(), new TunnelClientHandler(request)))
			.connect()
			.doOnNext((c) -> c.dispose())
			.map((c) -> TunnelStatus.CONNECTED)
			.onErrorResume(TunnelException.class, (ex) -> Mono.just(ex.status()));
	}

}
