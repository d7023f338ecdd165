package io.shallotspur.platform;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import com.codahale.metrics.MetricRegistry;
import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import reactor.test.scheduler.VirtualTimeScheduler;

import io.shallotspur.adapter.tunnel.TunnelServer;
import io.shallotspur.exc.EngineLostException;
import io.shallotspur.gateway.EntryVm;
import io.shallotspur.gateway.WorkerInfo;
import io.shallotspur.gateway.WorkerNotice;
import io.shallotspur.gateway.WorkerStage;
import io.shallotspur.stage.OrderResult;
import io.shallotspur.stage.StageOrder;
import io.shallotspur.stage.StageReport;

/**
 * Tests of {@link HttpStagePort} against a fake worker.
 */
class HttpStagePortTests {

	private static final EntryVm OTHER_VM = new EntryVm("vms/other", "", "region-1", "hall-a", 1, false);

	private final FakeWorker worker = new FakeWorker("d1", "decode");

	private final VmEventLoop loop = new VmEventLoop();

	private final VirtualTimeScheduler timeouts = VirtualTimeScheduler.create();

	private final WorkerClient client = new HttpWorkerPort(this.loop, new UnknownResponseFields(new MetricRegistry()))
		.workerClient();

	private final HttpStagePort port = new HttpStagePort(this.client, this.timeouts, () -> this.nowMs += this.stepMs);

	private long nowMs;

	// By how much the time advances with each reading of the clock.
	private long stepMs;

	@AfterEach
	void stop() {
		this.loop.close();
		this.worker.stop();
	}

	private WorkerInfo info() {
		return this.worker.info(WorkerStage.DECODE);
	}

	@Test
	void decodesReport() {
		Assertions.assertThat(this.port.report(info()).block())
			.isEqualTo(new StageReport(WorkerStage.DECODE, false, 4, 0));
	}

	@ParameterizedTest
	@CsvSource({ "200,ACCEPTED", "202,ACCEPTED", "400,REFUSED", "409,CONFLICT", "412,FENCED", "421,REPLACED" })
	void mapsStatusOfOrder(int status, OrderResult expected) {
		this.worker.orderStatus = status;
		OrderResult r = this.port.order(new StageOrder(info(), WorkerStage.PREFILL, "vm-1", 40, 4)).block();
		Assertions.assertThat(r).isEqualTo(expected);
		Assertions.assertThat(this.worker.orders)
			.containsExactly("{\"operation\":\"stage\",\"stage\":\"prefill\",\"holder\":\"vm-1\","
					+ "\"fencing_token\":40,\"expected\":4}");
	}

	// Guards against a statement that is read in responses to requests only: the leader
	// calls workers that no caller's request goes to.
	@Test
	void reportAndOrderCarryNotices() {
		List<WorkerNotice> notices = new CopyOnWriteArrayList<>();
		this.client.setNoticeListener((w, notice) -> notices.add(notice));
		this.port.report(info()).block();
		Assertions.assertThat(notices).isEmpty();
		this.worker.responseFields.put("Server-Leaving", "1");
		this.port.report(info()).block();
		this.port.order(new StageOrder(info(), WorkerStage.PREFILL, "vm-1", 40, 4)).block();
		Assertions.assertThat(notices).hasSize(2).allMatch(WorkerNotice::leaving);
	}

	// The worker is silent. A call that never ended would keep its worker in a stage
	// change for good.
	@Test
	void failsWhenAWorkerIsSilentForTheTimeout() throws InterruptedException {
		this.worker.answersReports = false;
		CompletableFuture<StageReport> report = this.port.report(info()).toFuture();
		this.worker.reportReceived.await();
		this.timeouts.advanceTimeBy(Duration.ofMillis(499));
		Assertions.assertThat(report).isNotDone();
		this.timeouts.advanceTimeBy(Duration.ofMillis(1));
		Assertions.assertThat(report).isCompletedExceptionally();
	}

	// Guards against an order that reaches its worker from another machine than the
	// holder's, because the direct path is lost and requests go through another VM.
	@Test
	void sendsOrdersDirectlyAndNeverThroughAnotherVm() {
		TunnelServer tunnels = new TunnelServer(this.loop.resources().onServer(false), OTHER_VM.key(),
				(id) -> Optional.of(new InetSocketAddress("127.0.0.1", this.worker.port())));
		String address = "127.0.0.1:" + tunnels.bind("127.0.0.1", 0).block().getPort();
		this.client.setPathSelector((w) -> Optional.of(OTHER_VM.withAddresses("", address, "")));
		WorkerInfo cutOff = this.worker.info(WorkerStage.DECODE, closedPort());
		Assertions.assertThat(this.port.report(cutOff).block().acceptedOrders()).isEqualTo(4);
		Assertions
			.assertThatThrownBy(
					() -> this.port.order(new StageOrder(cutOff, WorkerStage.PREFILL, "vm-1", 40, 4)).block())
			.hasCauseInstanceOf(EngineLostException.class);
		Assertions.assertThat(this.worker.orders).isEmpty();
		this.loop.execute(tunnels::close);
	}

	// Guards against an order that the kernel goes on delivering after its holder has
	// given it up: behind a cut it would arrive when another VM has long given orders.
	@Test
	void resetsTheConnectionOfAnOrderWithoutResponse() throws IOException {
		try (ServerSocket silent = new ServerSocket(0)) {
			WorkerInfo w = this.worker.info(WorkerStage.DECODE, silent.getLocalPort());
			CompletableFuture<OrderResult> order = this.port
				.order(new StageOrder(w, WorkerStage.PREFILL, "vm-1", 40, 4))
				.toFuture();
			try (Socket s = silent.accept()) {
				Assertions.assertThat(s.getInputStream().read()).isEqualTo('P');
				this.timeouts.advanceTimeBy(Duration.ofMillis(500));
				Assertions.assertThat(order).isCompletedExceptionally();
				Assertions.assertThatThrownBy(() -> s.getInputStream().readAllBytes())
					.isInstanceOf(SocketException.class);
			}
		}
	}

	// Guards against an order of a process that is stopped while it connects, and sends
	// the order when it continues.
	@Test
	void sendsNoOrderAfterItsTimeLimit() {
		this.stepMs = 501;
		Assertions
			.assertThatThrownBy(
					() -> this.port.order(new StageOrder(info(), WorkerStage.PREFILL, "vm-1", 40, 4)).block())
			.hasCauseInstanceOf(EngineLostException.class);
		Assertions.assertThat(this.worker.orders).isEmpty();
	}

	private static int closedPort() {
		try (ServerSocket s = new ServerSocket(0)) {
			return s.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// The worker is down. The sender must get an error that leaves the result of the call
	// open.
	@Test
	void failsWithoutResponse() {
		this.worker.stop();
		Assertions.assertThatThrownBy(() -> this.port.report(info()).block())
			.hasCauseInstanceOf(EngineLostException.class);
	}

}
