package io.shallotspur.platform;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

import io.shallotspur.cfg.Endpoint;
import io.shallotspur.gateway.GatewaySettings;
import io.shallotspur.registry.ChangeDeadlines;

/**
 * Goes through a start and a few requests on loopback, so that the virtual machine can
 * archive the classes that serving needs. Stateless.
 * <p>
 * A VM that comes back after a failure serves nothing until its classes are loaded. With
 * the archive it does so in about half of the time.
 */
final class Rehearsal {

	private static final Duration LIMIT = Duration.ofSeconds(5);

	// Some of what the runtime makes at first use depends on how often it was used.
	private static final int REQUESTS = 20;

	private static final long READY_MS = 5_000;

	private Rehearsal() {
	}

	static void run() {
		RehearsalStandins standins = new RehearsalStandins();
		Endpoint any = new Endpoint("127.0.0.1", 0);
		PlatformVm vm = new PlatformVm(new PlatformSettings(new GatewaySettings("rehearsal", "here", 0.2, 10, 1_000),
				"here", 1, any, any, any, any, standins.address(), 1_000, 500, new ChangeDeadlines(500, 500),
				new PlatformSettings.OrderSettings(true, 0), new PlatformSettings.LogVolume("info", 10)));
		vm.start();
		awaitReady(vm);
		for (int i = 0; i < REQUESTS; i++) {
			ask(vm.callersPort(), "/p/x", false);
			ask(vm.callersPort(), "/p/full", false);
			ask(vm.callersPort(), "/m/x", true);
			ask(vm.callersPort(), "/none", false);
			ask(vm.locatePort(), Names.LOCATE_PATH, false);
			ask(vm.metricsPort(), "/metrics", false);
		}
		vm.drain();
		standins.stop();
	}

	private static void awaitReady(PlatformVm vm) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_MS);
		int status = 0;
		while (status != HttpResponseStatus.OK.code() && System.nanoTime() < end) {
			status = ask(vm.readyPort(), Names.READY_PATH, false);
		}
	}

	private static int ask(int port, String path, boolean prompt) {
		return HttpClient.create().headers((h) -> {
			h.set(HttpHeaderNames.HOST, "h").set(Names.REQUEST_ID, "r").set(Names.TIME_LEFT, "800");
			if (prompt) {
				h.set(Names.TOKEN_COUNTS, "900,100").set(Names.LENGTH_HINT, "50");
			}
		})
			.request(path.startsWith("/api/") ? HttpMethod.GET : HttpMethod.POST)
			.uri("http://127.0.0.1:" + port + path)
			.responseSingle((r, content) -> content.asString().thenReturn(r.status().code()))
			.timeout(LIMIT)
			.onErrorResume((ex) -> {
				// The archive is made all the same, with what was loaded so far.
				Logger.warn("[run] rehearsal path={} seen=\"{}\"", path, ex.toString());
				return Mono.just(0);
			})
			.blockOptional()
			.orElse(0);
	}

}
