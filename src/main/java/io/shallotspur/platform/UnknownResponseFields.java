package io.shallotspur.platform;

import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import org.tinylog.Logger;
import reactor.netty.http.client.HttpClientResponse;

import io.shallotspur.gateway.SeriesNames;

/**
 * Counts the header fields in responses of workers that this process neither uses nor
 * knows as ordinary HTTP, or whose values it does not understand, and logs the first
 * sight of each. Such a field may state something about the worker that has to be obeyed.
 * Confined to the event loop.
 * <p>
 * Invariant: at most {@link #MAX_NAMES} names have a counter and a log line of their own.
 */
final class UnknownResponseFields {

	static final String COUNTER_PREFIX = "workers.unknown-field.";

	static final int MAX_NAMES = 32;

	/**
	 * Counts the connections closed for bytes that came while no call was outstanding.
	 */
	static final String UNREQUESTED_BYTES = "workers.unrequested-bytes";

	private static final int MAX_LOGGED_VALUE = 64;

	private static final Set<String> KNOWN = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);

	static {
		KNOWN.addAll(Set.of(PlatformNames.REQUEST_ID, PlatformNames.SIGNATURE, PlatformNames.NOT_EXECUTED,
				PlatformNames.LOAD, PlatformNames.RATE_LIMIT, PlatformNames.LEAVING, PlatformNames.RETRY_AFTER,
				PlatformNames.WEIGHT_VERSIONS, PlatformNames.INSTANCE_ID));
		KNOWN.addAll(Set.of("Accept-Ranges", "Age", "Allow", "Cache-Control", "Connection", "Content-Disposition",
				"Content-Encoding", "Content-Language", "Content-Length", "Content-Location", "Content-Range",
				"Content-Type", "Date", "ETag", "Expires", "Keep-Alive", "Last-Modified", "Link", "Location", "Pragma",
				"Server", "Set-Cookie", "Trailer", "Transfer-Encoding", "Upgrade", "Vary", "Via", "Warning",
				"WWW-Authenticate"));
	}

	private final MetricRegistry registry;

	private final SeriesNames names = new SeriesNames(MAX_NAMES);

	/**
	 * Creates the counters.
	 * @param registry the registry that holds them
	 */
	UnknownResponseFields(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Counts the fields of a response that are unknown or not understood.
	 * @param response the response of a worker
	 */
	void observe(HttpClientResponse response) {
		HttpHeaders headers = response.responseHeaders();
		int status = response.status().code();
		for (Map.Entry<String, String> field : headers) {
			if (!KNOWN.contains(field.getKey()) || ResponseHeadDecoder.isMalformed(field.getKey(), status, headers)) {
				count(field.getKey().toLowerCase(Locale.ROOT), field.getValue(), response);
			}
		}
	}

	/**
	 * Counts a connection that is closed, as a worker has sent bytes on it while no call
	 * was outstanding.
	 * @param connection the connection
	 */
	void observeUnrequestedBytes(Channel connection) {
		this.registry.counter(UNREQUESTED_BYTES).inc();
		Logger.info("[platform] unrequested bytes connection={} worker-address={}", connection.id().asShortText(),
				connection.remoteAddress());
	}

	private void count(String name, String value, HttpClientResponse response) {
		boolean isNew = this.names.add(name);
		this.registry.counter(COUNTER_PREFIX + this.names.seriesOf(name)).inc();
		if (isNew) {
			Logger.warn("[platform] unknown response field name={} value=\"{}\" status={} call={} worker={}", name,
					truncated(value), response.status().code(), callKind(response), expectedWorker(response));
		}
	}

	private static String truncated(String value) {
		return value.substring(0, Math.min(MAX_LOGGED_VALUE, value.length()));
	}

	private static String callKind(HttpClientResponse response) {
		HttpHeaders request = response.requestHeaders();
		if (request.contains(PlatformNames.STAGE)) {
			return request.get(PlatformNames.STAGE);
		}
		return request.contains(PlatformNames.REQUEST_ID) ? "request" : response.fullPath();
	}

	private static String expectedWorker(HttpClientResponse response) {
		return response.requestHeaders().get(PlatformNames.EXPECTED_INSTANCE, "unknown");
	}

}
