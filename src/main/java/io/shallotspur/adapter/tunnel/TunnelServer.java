package io.shallotspur.adapter.tunnel;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;

import io.shallotspur.adapter.http.SilentConnections;

/**
 * Connects other VMs to workers that they cannot reach themselves. Confined to its event
 * loop, which must have one thread.
 * <p>
 * Invariants: only registered workers are connected, and no VM is asked in turn, so that
 * tunnels cannot form a cycle; when either side of a tunnel closes, so does the other.
 */
public final class TunnelServer {

	/**
	 * Connect timeout to a worker, in milliseconds. A VM that asks has already waited for
	 * its own.
	 */
	static final int CONNECT_TIMEOUT_MS = 250;

	// A tunnel uses two file descriptors, of which a process has a few thousand.
	private static final int MAX_TUNNELS = 1_000;

	// In s. Longer than requests wait for a response; ends the tunnels of a VM that is
	// gone without a reset.
	private static final int IDLE_TIMEOUT_S = 120;

	private final EventLoopGroup loop;

	private final String vm;

	private final TunnelTargets targets;

	private final Set<Channel> tunnels = new HashSet<>();

	private @Nullable Channel listener;

	// Volatile: read by the thread that waits for the drain to finish.
	private volatile int openTunnels;

	private boolean draining;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the event loop
	 * @param vm the registration key of this VM
	 * @param targets the workers that it connects to
	 */
	public TunnelServer(EventLoopGroup loop, String vm, TunnelTargets targets) {
		this.loop = loop;
		this.vm = vm;
		this.targets = targets;
	}

	/**
	 * Starts to listen.
	 * @param host the address
	 * @param port the port; 0 for any free one
	 * @return the bound address; signals a {@link ChannelBindException} if it is in use
	 */
	public Mono<InetSocketAddress> bind(String host, int port) {
		ServerBootstrap b = SilentConnections.detect(new ServerBootstrap())
			.group(this.loop)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {

				@Override
				protected void initChannel(SocketChannel c) {
					accept(c);
				}

			});
		return Mono.create((sink) -> b.bind(host, port).addListener((f) -> {
			if (f.isSuccess()) {
				this.listener = ((ChannelFuture) f).channel();
				sink.success((InetSocketAddress) this.listener.localAddress());
			}
			else {
				sink.error(ChannelBindException.fail(new InetSocketAddress(host, port), f.cause()));
			}
		}));
	}

	private void accept(SocketChannel c) {
		TunnelCodec.install(c.pipeline(), new TunnelServerHandler(this));
		c.pipeline().addFirst(new IdleStateHandler(0, 0, IDLE_TIMEOUT_S));
		this.tunnels.add(c);
		this.openTunnels = this.tunnels.size();
		c.closeFuture().addListener((f) -> {
			this.tunnels.remove(c);
			this.openTunnels = this.tunnels.size();
		});
	}

	boolean accepts(TunnelRequest r) {
		return !this.draining && r.vm().equals(this.vm) && this.tunnels.size() <= MAX_TUNNELS;
	}

	TunnelTargets targets() {
		return this.targets;
	}

	/**
	 * Refuses new tunnels; open ones stay.
	 */
	public void drain() {
		this.draining = true;
	}

	/**
	 * Returns the number of open tunnels.
	 * @return the number of tunnels
	 */
	public int openTunnels() {
		return this.openTunnels;
	}

	/**
	 * Stops listening and closes all tunnels.
	 */
	public void close() {
		if (this.listener != null) {
			this.listener.close();
		}
		List.copyOf(this.tunnels).forEach(Channel::close);
	}

}
