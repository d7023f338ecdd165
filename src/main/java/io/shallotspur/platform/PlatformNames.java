package io.shallotspur.platform;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;

import io.shallotspur.gateway.HeaderField;

/**
 * Names of the platform's header fields, HTTP paths and store keys.
 */
final class PlatformNames {

	static final String REQUEST_ID = "X-Request-Id";

	/** Remaining time that the sender waits for the response, in ms from sending. */
	static final String REMAINING_MS = "X-Deadline-Ms";

	/** The worker's signature on its response. */
	static final String SIGNATURE = "X-Server-Stamp";

	/** If present, the worker has not run the request and never will. */
	static final String NOT_EXECUTED = "X-Not-Executed";

	/** The only worker incarnation that may run the request. */
	static final String EXPECTED_INSTANCE = "X-Expect-Instance";

	/** Running requests, waiting requests and slots, separated by commas. */
	static final String LOAD = "X-Server-Load";

	/**
	 * Requests per second that the worker accepts from all VMs together. The limit holds
	 * until a signed successful response, or a prefill response with a KV handle, comes
	 * without it and answers a request that was sent after the limit was last reported.
	 */
	static final String RATE_LIMIT = "Server-Limit";

	/**
	 * {@code 1} in all responses of a worker that is leaving; also while its entry in the
	 * store still shows it as ready.
	 */
	static final String LEAVING = "Server-Leaving";

	/**
	 * In a refusal (429 or 503): the seconds, which may have fractions, for which the
	 * worker wants nothing from this VM. In ordinary HTTP also a date.
	 */
	static final String RETRY_AFTER = "Retry-After";

	/** The versions of the weights that a response was generated with. */
	static final String WEIGHT_VERSIONS = "X-Weight-Versions";

	/** The id of the worker that answers a health check. */
	static final String INSTANCE_ID = "X-Instance-Id";

	/** Prompt tokens and maximum output tokens, separated by a comma. */
	static final String TOKEN_COUNTS = "X-Token-Count";

	/**
	 * The parts of the prompt in their order, as ID:TOKENS separated by commas. Requests
	 * share parts; the last part belongs to the request or its session.
	 */
	static final String PROMPT_PARTS = "X-Prompt-Prefix";

	/** The caller's estimate of the number of output tokens. */
	static final String LENGTH_HINT = "X-Length-Hint";

	/** The caller's API key. */
	static final String AUTHORIZATION = "Authorization";

	/** The customer that the caller's API key belongs to. */
	static final String CUSTOMER = "X-Tenant";

	static final String LAST_EVENT_ID = "Last-Event-Id";

	/** The id of the request that brought the first event of a resumed stream. */
	static final String RESUMED_REQUEST = "Resumes";

	/** The priority at the worker, 0 to 9; 0 is the highest. */
	static final String PRIORITY = "X-Request-Priority";

	/** {@code prefill} if the worker is to run only the prefill stage. */
	static final String STAGE = "X-Stage";

	/** Where to fetch the prompt's KV cache from, as IP:PORT/HANDLE. */
	static final String KV_SOURCE = "X-Kv-Source";

	/** The KV cache reservation that the request uses. */
	static final String RESERVATION = "X-Hold";

	static final String RESERVE_PATH = "/api/hold-take";

	static final String RELEASE_PATH = "/api/hold-drop/";

	/** Start time of a worker, in Unix milliseconds; in its entry and reports. */
	static final String STARTED_AT = "born";

	static final String REPORT_PATH = "/api/report";

	static final String ORDER_PATH = "/api/order";

	static final String READINESS_PATH = "/api/readiness";

	static final String LOCATE_PATH = "/api/resolution";

	static final String KV_HANDLE_PATH = "/api/kv-handle/";

	/** Era of the store; increases with each restore from an older snapshot. */
	static final String STORE_ERA = "Store-Era";

	static final String CONFIG_KEY = "op/config";

	static final String WORKER_PREFIX = "servers/";

	/** Prefix of the registrations of entry VMs, one key for each process start. */
	static final String VM_PREFIX = "vms/";

	/**
	 * Key that names the current leader: the entry VM that sends stage orders to workers.
	 */
	static final String STAGE_LEADER_KEY = "duties/stages";

	/**
	 * Prefix of announced stage changes, one key for each worker that changes its stage.
	 */
	static final String STAGE_CHANGE_PREFIX = "stages/";

	/**
	 * Prefix of the engine statistics that entry VMs share, one key for each upstream.
	 */
	static final String ENGINE_STATS_PREFIX = "figures/";

	/**
	 * Prefix of the announced versions of the workers' software, one key for each
	 * upstream.
	 */
	static final String VERSIONS_PREFIX = "versions/";

	/**
	 * Key of the latest store era that has settled: an entry VM recorded that the
	 * operator and the workers have had time to rewrite data lost in the restore.
	 */
	static final String SETTLED_ERA_KEY = "eras/settled";

	/**
	 * Prefix of the publications about requests that crash workers, one key for each
	 * publication of a VM.
	 */
	static final String SUSPECTS_PREFIX = "suspects/";

	// Hop-by-hop headers, and headers that only this system may set. A caller that set
	// one of the latter could use another request's KV cache or priority, or pass for
	// another customer. The API key is meant for this system only; a worker that received
	// it could use it.
	private static final Set<String> NOT_FORWARDED = Set.of("connection", "keep-alive", "proxy-connection", "te",
			"trailer", "transfer-encoding", "upgrade", "expect", "content-length", "proxy-authenticate",
			"proxy-authorization", "x-stage", "x-kv-source", "x-kv-backup", "kv-fetch", "x-hold", "x-pin-ms",
			"x-request-priority", "x-expect-instance", "x-expect-version", "x-deadline-ms", "last-event-id",
			"authorization", "x-tenant");

	private PlatformNames() {
	}

	/**
	 * Returns the headers to forward: all except hop-by-hop headers and those that only
	 * this system may set.
	 * @param headers the received headers
	 * @return the remaining headers, in the same order
	 */
	static List<HeaderField> forwardedHeaders(HttpHeaders headers) {
		Set<String> hopByHop = connectionHeaders(headers);
		List<HeaderField> l = new ArrayList<>();
		for (Map.Entry<String, String> e : headers) {
			String n = e.getKey().toLowerCase(Locale.ROOT);
			if (!NOT_FORWARDED.contains(n) && !hopByHop.contains(n)) {
				l.add(new HeaderField(e.getKey(), e.getValue()));
			}
		}
		return l;
	}

	// The headers that the sender lists as hop-by-hop in its Connection header.
	private static Set<String> connectionHeaders(HttpHeaders headers) {
		Set<String> names = new HashSet<>();
		for (String value : headers.getAll("Connection")) {
			for (String name : value.split(",")) {
				names.add(name.strip().toLowerCase(Locale.ROOT));
			}
		}
		return names;
	}

}
