package io.shallotspur.adapter.peer;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;

import io.netty.channel.ChannelOption;
import io.netty.handler.ssl.SslContext;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

import io.shallotspur.adapter.http.SilentConnections;
import io.shallotspur.exc.PeerException;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.port.PeerMessage;
import io.shallotspur.port.PeerNetwork;

/**
 * Peer links over TCP. Thread-safe; handlers are set before {@link #start()}.
 * <p>
 * Each direction between two VMs has its own connections, at most one for control
 * messages and one for the rest, so that a large forwarded answer cannot delay a probe.
 * They are opened when first needed and closed when idle.
 */
public final class TcpPeerNetwork implements PeerNetwork {

	/**
	 * Type numbers below this one are control messages (membership and contracts).
	 */
	public static final int FIRST_DATA_TYPE = 40;

	private static final Duration STOP_TIMEOUT = Duration.ofSeconds(3);

	private final PeerSettings settings;

	private final PeerCodec codec;

	private final Handshake handshake;

	private final @Nullable SslContext clientTls;

	private final @Nullable SslContext serverTls;

	// Null for the defaults of the library.
	private final @Nullable LoopResources loop;

	private final Scheduler timeouts;

	private final PeerHandlers handlers = new PeerHandlers();

	private final PeerTraffic traffic = new PeerTraffic();

	private final ConcurrentMap<Route, Mono<ClientLink>> links = new ConcurrentHashMap<>();

	private final Set<Connection> accepted = ConcurrentHashMap.newKeySet();

	private volatile @Nullable DisposableServer server;

	private volatile boolean stopped;

	/**
	 * Creates a network that does not listen yet.
	 * @param settings the settings
	 * @param codec the registered messages
	 * @throws SettingsException if the certificates cannot be used
	 */
	public TcpPeerNetwork(PeerSettings settings, PeerCodec codec) throws SettingsException {
		this(settings, codec, clientTls(settings.tls()), serverTls(settings.tls()), null, Schedulers.parallel());
	}

	private TcpPeerNetwork(PeerSettings settings, PeerCodec codec, @Nullable SslContext clientTls,
			@Nullable SslContext serverTls, @Nullable LoopResources loop, Scheduler timeouts) {
		this.settings = settings;
		this.codec = codec;
		this.handshake = new Handshake(settings.clusterId(), settings.secret());
		this.clientTls = clientTls;
		this.serverTls = serverTls;
		this.loop = loop;
		this.timeouts = timeouts;
	}

	/**
	 * Creates a network without TLS whose links, timeouts and handlers all run on one
	 * event loop.
	 * @param settings the settings
	 * @param codec the registered messages
	 * @param loop the event loop
	 * @param timeouts a scheduler on the same event loop
	 * @return the network, which does not listen yet
	 */
	public static TcpPeerNetwork onLoop(PeerSettings settings, PeerCodec codec, LoopResources loop,
			Scheduler timeouts) {
		return new TcpPeerNetwork(settings, codec, null, null, loop, timeouts);
	}

	private static @Nullable SslContext clientTls(@Nullable PeerTls tls) throws SettingsException {
		return (tls != null) ? tls.client() : null;
	}

	private static @Nullable SslContext serverTls(@Nullable PeerTls tls) throws SettingsException {
		return (tls != null) ? tls.server() : null;
	}

	/**
	 * Starts to listen.
	 * @return the bound address
	 */
	public Mono<InetSocketAddress> start() {
		SslContext tls = this.serverTls;
		TcpServer s = TcpServer.create()
			.host(this.settings.bindHost())
			.port(this.settings.bindPort())
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.doOnConnection(this::accept);
		if (tls != null) {
			s = s.secure((spec) -> spec.sslContext(tls));
		}
		LoopResources l = this.loop;
		if (l != null) {
			s = s.runOn(l, false);
		}
		return s.bind().cast(DisposableServer.class).map((b) -> {
			this.server = b;
			return (InetSocketAddress) b.address();
		}).onErrorMap((ex) -> new PeerException("cannot listen: " + ex.getMessage(), this.settings.toString(), ex));
	}

	/**
	 * Closes all links; calls in progress fail.
	 */
	public void stop() {
		this.stopped = true;
		PeerException why = new PeerException("this VM stops its links", null);
		this.links.values().forEach((m) -> m.subscribe((l) -> l.close(why), (ex) -> Logger.trace(ex)));
		DisposableServer s = this.server;
		if (s != null && this.loop == null) {
			s.disposeNow(STOP_TIMEOUT);
		}
		else if (s != null) {
			// The event loop must not wait for itself.
			s.dispose();
		}
		this.accepted.forEach(Connection::dispose);
	}

	/**
	 * Returns the counters of this VM's links.
	 * @return live counters
	 */
	public PeerTraffic traffic() {
		return this.traffic;
	}

	@Override
	public Mono<PeerMessage> ask(String address, PeerMessage message, long timeoutMs) {
		return link(address, message).flatMap((l) -> l.ask(message))
			.timeout(Duration.ofMillis(timeoutMs),
					Mono.error(() -> new PeerException("no answer within " + timeoutMs + " ms", address)),
					this.timeouts);
	}

	@Override
	public Flux<PeerMessage> stream(String address, PeerMessage message) {
		return link(address, message).flatMapMany((l) -> l.stream(message));
	}

	@Override
	public void send(String address, PeerMessage message) {
		link(address, message).subscribe((l) -> sendOn(l, address, message),
				(ex) -> Logger.debug("[peer] Lost a message to {}: {}.", address, ex.getMessage()));
	}

	@Override
	public <T extends PeerMessage> void onAsk(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
		this.handlers.onAsk(type, handler);
	}

	@Override
	public <T extends PeerMessage> void onStream(Class<T> type, Function<T, Flux<? extends PeerMessage>> handler) {
		this.handlers.onStream(type, handler);
	}

	@Override
	public <T extends PeerMessage> void onSend(Class<T> type, Consumer<T> handler) {
		this.handlers.onSend(type, handler);
	}

	private void sendOn(ClientLink link, String address, PeerMessage message) {
		try {
			link.send(message);
		}
		catch (PeerException ex) {
			Logger.debug("[peer] Lost a message to {}: {}.", address, ex.getMessage());
		}
	}

	private void accept(Connection c) {
		if (this.accepted.size() >= this.settings.maxLinks()) {
			this.traffic.rejected();
			c.dispose();
			return;
		}
		this.accepted.add(c);
		c.onDispose(() -> this.accepted.remove(c));
		new ServerLink(c, this.settings, this.handshake, this.codec, this.handlers, this.traffic).run().subscribe();
	}

	private Mono<ClientLink> link(String address, PeerMessage message) {
		return Mono.fromCallable(() -> route(address, message))
			.flatMap((r) -> this.links.computeIfAbsent(r, this::connect))
			.onErrorMap((ex) -> !(ex instanceof PeerException),
					(ex) -> new PeerException("peer is not reachable: " + ex.getMessage(), address, ex));
	}

	private Route route(String address, PeerMessage message) throws PeerException {
		if (this.stopped) {
			throw new PeerException("this VM stops its links", address);
		}
		return new Route(address, this.codec.typeNumber(message) < FIRST_DATA_TYPE);
	}

	private Mono<ClientLink> connect(Route r) {
		AtomicReference<Mono<ClientLink>> self = new AtomicReference<>();
		Runnable forget = () -> this.links.remove(r, self.get());
		Mono<ClientLink> link = Mono.fromCallable(() -> client(r.address()))
			.flatMap((c) -> c.connect())
			.flatMap((c) -> new ClientLink(r.address(), c, this.settings, this.handshake, this.codec, this.traffic)
				.open())
			.timeout(Duration.ofMillis(this.settings.connectTimeoutMs()),
					Mono.error(() -> new PeerException("no connection in time", r.address())), this.timeouts)
			.doOnNext((l) -> l.onClose(forget))
			.doOnError((ex) -> forget.run())
			.cache();
		self.set(link);
		return link;
	}

	private TcpClient client(String address) throws PeerException {
		int colon = address.lastIndexOf(':');
		if (colon < 1) {
			throw new PeerException("address is not host:port", address);
		}
		TcpClient c = SilentConnections.detect(TcpClient.newConnection())
			.host(address.substring(0, colon))
			.port(port(address, colon))
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.settings.connectTimeoutMs());
		LoopResources l = this.loop;
		if (l != null) {
			c = c.runOn(l, false);
		}
		return secure(c);
	}

	private TcpClient secure(TcpClient c) {
		SslContext tls = this.clientTls;
		return (tls != null) ? c.secure((spec) -> spec.sslContext(tls)) : c;
	}

	private static int port(String address, int colon) throws PeerException {
		try {
			return Integer.parseInt(address.substring(colon + 1));
		}
		catch (NumberFormatException ex) {
			throw new PeerException("address is not host:port", address, ex);
		}
	}

	/**
	 * One way to a peer.
	 *
	 * @param address the peer
	 * @param control whether it is for control messages
	 */
	private record Route(String address, boolean control) {

	}

}
