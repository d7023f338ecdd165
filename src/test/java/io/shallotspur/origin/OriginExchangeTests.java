package io.shallotspur.origin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.PeerException;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.EntryVmDirectory;
import io.shallotspur.gateway.KnownOrigin;
import io.shallotspur.gateway.ManualTimer;
import io.shallotspur.gateway.StreamOrigin;
import io.shallotspur.gateway.StreamOrigins;
import io.shallotspur.port.PeerMessage;
import io.shallotspur.port.PeerNetwork;

/**
 * Tests of {@link OriginExchange}: VMs that tell each other where streams began.
 */
class OriginExchangeTests {

	private static final StreamOrigin V1 = new StreamOrigin("llm", "v1");

	private static final int VMS = 12;

	private final ManualTimer timer = new ManualTimer();

	private final Map<String, Vm> network = new HashMap<>();

	private final List<Optional<StreamOrigin>> found = new ArrayList<>();

	@BeforeEach
	void start() {
		for (int i = 0; i < VMS; i++) {
			this.network.put("vm-" + i, new Vm("vm-" + i));
		}
		this.network.values().forEach((vm) -> this.network.keySet().forEach(vm::knows));
	}

	private void tell(String vm, String request) {
		this.network.get(vm).exchange.tell(List.of(new KnownOrigin(request, V1, 60_000)));
		this.timer.advance(10);
	}

	private long copies(String request) {
		return this.network.values()
			.stream()
			.filter((v) -> v.origins.find(request, this.timer.now()).isPresent())
			.count();
	}

	@Test
	void keepsThreeCopiesOfEachStream() {
		tell("vm-0", "r1");
		Assertions.assertThat(copies("r1")).isEqualTo(3);
		this.network.get("vm-5").exchange.ask("r1", this.found::add);
		Assertions.assertThat(this.found).containsExactly(Optional.of(V1));
	}

	// Guards against a stream that is not found, as some of the VMs that were told have
	// ended.
	@Test
	void findsAStreamWhileOneCopyIsLeft() {
		tell("vm-0", "r1");
		this.network.values()
			.stream()
			.filter((v) -> v.origins.find("r1", this.timer.now()).isPresent())
			.limit(2)
			.forEach((v) -> v.ended = true);
		this.network.get("vm-0").exchange.ask("r1", this.found::add);
		Assertions.assertThat(this.found).containsExactly(Optional.of(V1));
	}

	@Test
	void saysOnceThatNobodyKnowsAStream() {
		this.network.get("vm-3").ended = true;
		this.network.get("vm-0").exchange.ask("r1", this.found::add);
		Assertions.assertThat(this.found).containsExactly(Optional.empty());
	}

	// Guards against a request that waits for ever on a VM that is alone.
	@Test
	void knowsNothingWithoutOtherVms() {
		this.network.clear();
		Vm alone = new Vm("vm-0");
		alone.knows("vm-0");
		alone.exchange.tell(List.of(new KnownOrigin("r1", V1, 60_000)));
		this.timer.advance(10);
		alone.exchange.ask("r1", this.found::add);
		Assertions.assertThat(this.found).containsExactly(Optional.empty());
	}

	/** A VM, which reaches all that have not ended. */
	private final class Vm implements PeerNetwork {

		private final EntryVmDirectory vms = new EntryVmDirectory();

		private final StreamOrigins origins = new StreamOrigins();

		private final Map<Class<?>, Function<PeerMessage, Mono<? extends PeerMessage>>> handlers = new HashMap<>();

		private final OriginExchange exchange;

		private boolean ended;

		private Vm(String name) {
			this.vms.registerSelf(entry(name));
			this.exchange = new OriginExchange(this, this.vms, this.origins, OriginExchangeTests.this.timer,
					OriginExchangeTests.this.timer::now, new MetricRegistry());
		}

		private static EntryVm entry(String name) {
			return new EntryVm("vms/" + name, name + ":80", "r", "hall-a", 1, false, "", name);
		}

		private void knows(String name) {
			this.vms.register(entry(name));
		}

		@Override
		public Mono<PeerMessage> ask(String address, PeerMessage message, long timeoutMs) {
			Vm target = OriginExchangeTests.this.network.get(address);
			return target.ended ? Mono.error(new PeerException("ended", address))
					: target.handlers.get(message.getClass()).apply(message).cast(PeerMessage.class);
		}

		@Override
		public Flux<PeerMessage> stream(String address, PeerMessage message) {
			throw new UnsupportedOperationException();
		}

		@Override
		public void send(String address, PeerMessage message) {
			throw new UnsupportedOperationException();
		}

		@Override
		public <T extends PeerMessage> void onAsk(Class<T> type, Function<T, Mono<? extends PeerMessage>> handler) {
			this.handlers.put(type, (m) -> handler.apply(type.cast(m)));
		}

		@Override
		public <T extends PeerMessage> void onStream(Class<T> type, Function<T, Flux<? extends PeerMessage>> handler) {
			throw new UnsupportedOperationException();
		}

		@Override
		public <T extends PeerMessage> void onSend(Class<T> type, Consumer<T> handler) {
			throw new UnsupportedOperationException();
		}

	}

}
