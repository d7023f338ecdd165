package io.shallotspur.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import reactor.core.Disposable;

import io.shallotspur.node.ServingFixture.Answer;
import io.shallotspur.standin.StandinPrompt;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A request that crashes what runs it, over real sockets.
 */
class PoisonTests {

	/**
	 * One kiosk's prompt crashes each decode worker that generates for it, and the kiosk
	 * sends it again and again. Two workers are lost, not all of them; the card of the
	 * guest next door, which ran beside it, comes whole.
	 */
	@Test
	void costsTwoWorkersAtMostAndNoNeighbour() {
		try (ServingFixture f = ServingFixture.create()) {
			EntryVm vm = f.owner("vm-1");
			f.awaitReady(vm);
			List<String> neighbour = new CopyOnWriteArrayList<>();
			Disposable d = f.stream(vm, ServingFixture.card("Guest", 400, true), Map.of()).subscribe(neighbour::add);
			ServingFixture.await(() -> neighbour.size() > 3);
			Answer a = poison(f, vm);
			for (int i = 0; i < 50 && !a.body().contains("quarantined"); i++) {
				a = poison(f, vm);
			}
			assertThat(a.json().path("title").asText()).isEqualTo("quarantined");
			assertThat(a.status()).isEqualTo(422);
			int crashes = f.state("d1").path("crashes").asInt() + f.state("d2").path("crashes").asInt();
			assertThat(crashes).isLessThanOrEqualTo(2);
			ServingFixture.await(d::isDisposed);
			assertThat(neighbour.get(neighbour.size() - 1)).isEqualTo("data: [DONE]\n\n");
			assertThat(neighbour.stream().filter((e) -> e.startsWith("id: "))).hasSize(400).doesNotHaveDuplicates();
			ServingFixture.await(f::nothingHeld);
		}
	}

	private static Answer poison(ServingFixture f, EntryVm vm) {
		return f.send(vm, HttpMethod.POST, "/v1/completions", ServingFixture.card(StandinPrompt.POISON, 20, false),
				Map.of("Shallotspur-Class", "registration-card"));
	}

}
