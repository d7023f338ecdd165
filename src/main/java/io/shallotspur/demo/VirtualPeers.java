package io.shallotspur.demo;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.adapter.peer.PeerCodec;
import io.shallotspur.exc.PeerException;
import io.shallotspur.port.PeerMessage;
import io.shallotspur.port.PeerNetwork;

/**
 * Peer links in virtual time. Messages take a fixed time, and a test decides which are
 * lost. Each message is encoded and decoded by the live codec, so that sizes are real;
 * each counts {@link #FRAME_BYTES} more for its frame. Not thread-safe.
 */
public final class VirtualPeers {

	/**
	 * The length prefix and the three integers of a frame.
	 */
	public static final int FRAME_BYTES = 10;

	private final VirtualTime time;

	private final PeerCodec codec;

	private final long delayMs;

	private final Map<String, Network> networks = new HashMap<>();

	private BiPredicate<String, String> lost = (from, to) -> false;

	private long bytes;

	private long messages;

	/**
	 * Creates links between nobody.
	 * @param time the clock
	 * @param codec the registered messages
	 * @param delayMs the time of a message from one VM to another, in milliseconds
	 */
	public VirtualPeers(VirtualTime time, PeerCodec codec, long delayMs) {
		this.time = time;
		this.codec = codec;
		this.delayMs = delayMs;
	}

	/**
	 * Adds a process, in place of one that used the address before.
	 * @param address its address
	 * @param node its scheduler
	 * @return its links
	 */
	public PeerNetwork join(String address, VirtualNode node) {
		Network n = new Network(address, node);
		this.networks.put(address, n);
		return n;
	}

	/**
	 * Sets which messages are lost.
	 * @param lost told the addresses of the sender and the receiver
	 */
	public void setLost(BiPredicate<String, String> lost) {
		this.lost = lost;
	}

	/**
	 * Returns what was sent by all processes together.
	 * @return the bytes
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Returns what was sent by all processes together.
	 * @return the messages
	 */
	public long messages() {
		return this.messages;
	}

	private void deliver(String from, String to, PeerMessage m, Consumer<PeerMessage> then) {
		PeerMessage copy = copy(m);
		Network n = this.networks.get(to);
		if (n != null && !this.lost.test(from, to)) {
			n.node.after(this.delayMs, () -> then.accept(copy));
		}
	}

	private PeerMessage copy(PeerMessage m) {
		try {
			byte[] b = this.codec.encode(m);
			this.bytes += b.length + FRAME_BYTES;
			this.messages++;
			return this.codec.decode(this.codec.typeNumber(m), b);
		}
		catch (PeerException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * The links of one process.
	 */
	private final class Network implements PeerNetwork {

		private final String address;

		private final VirtualNode node;

		private final Map<Class<?>, Function<PeerMessage, Flux<PeerMessage>>> questions = new HashMap<>();

		private final Map<Class<?>, Consumer<PeerMessage>> notices = new HashMap<>();

		private Network(String address, VirtualNode node) {
			this.address = address;
			this.node = node;
		}

		@Override
		public Mono<PeerMessage> ask(String to, PeerMessage message, long timeoutMs) {
			return Mono.create((sink) -> {
				AtomicBoolean done = new AtomicBoolean();
				this.node.after(timeoutMs, () -> {
					if (done.compareAndSet(false, true)) {
						sink.error(new PeerException("no answer", to));
					}
				});
				deliver(this.address, to, message, (m) -> answer(to, m, (a) -> {
					if (done.compareAndSet(false, true)) {
						sink.success(a);
					}
				}));
			});
		}

		@Override
		public Flux<PeerMessage> stream(String to, PeerMessage message) {
			return Flux.create((sink) -> deliver(this.address, to, message,
					(m) -> VirtualPeers.this.networks.get(to).flux(m).collectList().subscribe((l) -> {
						l.forEach((a) -> deliver(to, this.address, a, sink::next));
						this.node.after(VirtualPeers.this.delayMs, sink::complete);
					}, sink::error)));
		}

		@Override
		public void send(String to, PeerMessage message) {
			deliver(this.address, to, message, (m) -> VirtualPeers.this.networks.get(to).take(m));
		}

		@Override
		public <T extends PeerMessage> void onAsk(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
			this.questions.put(type, (m) -> Flux.from(handler.apply(type.cast(m))).cast(PeerMessage.class));
		}

		@Override
		public <T extends PeerMessage> void onStream(Class<T> type, Function<T, Flux<? extends PeerMessage>> handler) {
			this.questions.put(type, (m) -> handler.apply(type.cast(m)).cast(PeerMessage.class));
		}

		@Override
		public <T extends PeerMessage> void onSend(Class<T> type, Consumer<T> handler) {
			this.notices.put(type, (m) -> handler.accept(type.cast(m)));
		}

		private void answer(String to, PeerMessage m, Consumer<PeerMessage> then) {
			VirtualPeers.this.networks.get(to)
				.flux(m)
				.next()
				.subscribe((a) -> deliver(to, this.address, a, then), (ex) -> {
				});
		}

		private Flux<PeerMessage> flux(PeerMessage m) {
			Function<PeerMessage, Flux<PeerMessage>> h = this.questions.get(m.getClass());
			return (h != null) ? h.apply(m) : Flux.error(new PeerException("no handler", this.address));
		}

		private void take(PeerMessage m) {
			@Nullable Consumer<PeerMessage> h = this.notices.get(m.getClass());
			if (h != null) {
				h.accept(m);
			}
		}

	}

}
