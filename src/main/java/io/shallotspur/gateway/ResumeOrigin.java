package io.shallotspur.gateway;

import java.util.Optional;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

import io.shallotspur.route.Route;

/**
 * Finds out where the stream began that a caller resumes: from what this VM remembers,
 * from the registry if it proves that there is only one version, or from other VMs. Not
 * thread-safe; confined to the gateway's thread.
 * <p>
 * Invariant: the callback is called once, unless the search is cancelled. Silence of
 * other VMs or of the registry proves nothing.
 */
final class ResumeOrigin {

	// Other VMs and the registry respond within a few ms, ms.
	private static final long TIMEOUT_MS = 600;

	private final Gateway gateway;

	private final Route route;

	private final @Nullable String resumedRequest;

	private final Consumer<Optional<StreamOrigin>> callback;

	private Runnable cancelTimer = () -> {
	};

	private boolean done;

	ResumeOrigin(Gateway gateway, Route route, @Nullable String resumedRequest,
			Consumer<Optional<StreamOrigin>> callback) {
		this.gateway = gateway;
		this.route = route;
		this.resumedRequest = resumedRequest;
		this.callback = callback;
	}

	void start(long now) {
		Optional<StreamOrigin> known = Optional.ofNullable(this.resumedRequest)
			.flatMap((id) -> this.gateway.origins.streams().find(id, now));
		if (known.isPresent()) {
			finish(known);
			return;
		}
		this.cancelTimer = this.gateway.timer.schedule(TIMEOUT_MS, () -> finish(Optional.empty()));
		if (this.gateway.origins.hasSeveralOrigins(this.route)) {
			askPeers();
			return;
		}
		String upstream = this.route.targets().get(0).upstream();
		this.gateway.origins.findOnlyVersion(upstream,
				(version) -> onVersion(version.map((v) -> new StreamOrigin(upstream, v))));
	}

	private void onVersion(Optional<StreamOrigin> proven) {
		if (proven.isPresent()) {
			finish(proven);
		}
		else if (!this.done) {
			askPeers();
		}
	}

	private void askPeers() {
		if (this.resumedRequest == null) {
			finish(Optional.empty());
		}
		else {
			this.gateway.origins.askPeers(this.resumedRequest, this::finish);
		}
	}

	private void finish(Optional<StreamOrigin> origin) {
		if (!this.done) {
			cancel();
			this.callback.accept(origin);
		}
	}

	void cancel() {
		this.done = true;
		this.cancelTimer.run();
	}

}
