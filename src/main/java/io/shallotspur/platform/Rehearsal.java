package io.shallotspur.platform;

import java.time.Duration;

import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.gateway.GatewaySettings;

/**
 * Goes through a start and a few requests on loopback, so that the virtual machine can
 * archive the classes that serving needs. Stateless.
 * <p>
 * A VM that comes back after a failure serves nothing until its classes are loaded. With
 * the archive it does so in about half of the time.
 */
final class Rehearsal {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	private static final int REQUESTS = 3;

	private Rehearsal() {
	}

	static void run() {
		Endpoint any = new Endpoint("127.0.0.1", 0);
		PlatformVm vm = new PlatformVm(new PlatformSettings(new GatewaySettings("rehearsal", "here", 0, 0, 1_000), any,
				any, any, any, new Endpoint("127.0.0.1", 10), 1_000, 500, 500,
				new PlatformSettings.OrderSettings(true, 0), new PlatformSettings.LogVolume("info", 10)));
		vm.start();
		for (int i = 0; i < REQUESTS; i++) {
			ask(vm.callersPort(), "/x");
			ask(vm.readyPort(), Names.READY_PATH);
			ask(vm.locatePort(), Names.LOCATE_PATH);
			ask(vm.metricsPort(), "/metrics");
		}
		vm.drain();
	}

	private static void ask(int port, String path) {
		HttpClient.create()
			.headers((h) -> h.set(Names.REQUEST_ID, "r").set(Names.TOKEN_COUNTS, "1,1"))
			.post()
			.uri("http://127.0.0.1:" + port + path)
			.send(Mono.empty())
			.responseSingle((r, content) -> content.asString().thenReturn(r.status().code()))
			.timeout(LIMIT)
			.onErrorResume((ex) -> {
				// The archive is made all the same, with what was loaded so far.
				Logger.warn("[run] rehearsal path={} seen=\"{}\"", path, ex.toString());
				return Mono.empty();
			})
			.block();
	}

}
