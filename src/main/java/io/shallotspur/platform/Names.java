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
 * Names of the platform's header fields, calls and keys.
 */
final class Names {

	static final String REQUEST_ID = "X-Request-Id";

	/** Milliseconds that the sender waits, counted from the sending. */
	static final String TIME_LEFT = "X-Deadline-Ms";

	/** The worker's signature on its answer. */
	static final String SIGNATURE = "X-Server-Stamp";

	/** Present: the worker has not run the request and never will. */
	static final String NOT_RUN = "X-Not-Executed";

	/** The incarnation that alone may run the request. */
	static final String EXPECTED_WORKER = "X-Expect-Instance";

	/** Running, waiting, slots, separated by commas. */
	static final String LOAD = "X-Server-Load";

	/**
	 * Requests a second that the worker takes from all VMs together, while it says so.
	 */
	static final String LIMIT = "Server-Limit";

	/** Prompt tokens and the most output tokens, separated by a comma. */
	static final String TOKEN_COUNTS = "X-Token-Count";

	/** The caller's estimate of the output tokens. */
	static final String LENGTH_HINT = "X-Length-Hint";

	/** The caller's key. */
	static final String CREDENTIALS = "Authorization";

	/** The customer whose key the caller sent. */
	static final String CUSTOMER = "X-Tenant";

	static final String LAST_EVENT = "Last-Event-Id";

	/** The rank at the worker, 0 to 9; 0 is first. */
	static final String PRIORITY = "X-Request-Priority";

	/** Set to {@code prefill}: only the prompt is to be read. */
	static final String STAGE = "X-Stage";

	/** Where the KV cache of the prompt is to be fetched, IP:PORT/HANDLE. */
	static final String KV_SOURCE = "X-Kv-Source";

	/** The reservation that the request uses. */
	static final String HOLD = "X-Hold";

	static final String HOLD_PATH = "/api/hold-take";

	static final String DROP_PATH = "/api/hold-drop/";

	/** Beside all that a worker says of itself: its start, in Unix milliseconds. */
	static final String STARTED_AT = "born";

	static final String REPORT_PATH = "/api/report";

	static final String ORDER_PATH = "/api/order";

	static final String READY_PATH = "/api/readiness";

	static final String LOCATE_PATH = "/api/resolution";

	static final String KV_HANDLE_PATH = "/api/kv-handle/";

	/** How often the store has come back from an older copy, in all its answers. */
	static final String STORE_ERA = "Store-Era";

	static final String CONFIG_KEY = "op/config";

	static final String WORKER_PREFIX = "servers/";

	/** Our own keys: one for each start of an entry VM. */
	static final String VM_PREFIX = "vms/";

	/** Our own key: the VM that gives orders to workers. */
	static final String DUTY_KEY = "duties/stages";

	/** Our own keys: one for each worker that changes over. */
	static final String STAGE_PREFIX = "stages/";

	/** Our own keys: what VMs have seen of the engines of each upstream. */
	static final String FIGURES_PREFIX = "figures/";

	/** Our own key: the latest era of the store that a VM saw settle. */
	static final String SETTLED_KEY = "eras/settled";

	// Fields of one connection, and those that only the system may set. A caller who set
	// the latter could take another request's memory or rank, or be taken for another
	// customer's. The key is for this system; a worker that had it could use it.
	private static final Set<String> NOT_RELAYED = Set.of("connection", "keep-alive", "proxy-connection", "te",
			"trailer", "transfer-encoding", "upgrade", "expect", "content-length", "proxy-authenticate",
			"proxy-authorization", "x-stage", "x-kv-source", "x-kv-backup", "x-kv-fetch", "x-hold", "x-pin-ms",
			"x-request-priority", "x-expect-instance", "x-expect-version", "x-deadline-ms", "last-event-id",
			"authorization", "x-tenant");

	private Names() {
	}

	/**
	 * Returns the fields that are handed on: all but those of one connection and those
	 * that only the system may set.
	 * @param headers the fields that came
	 * @return the fields in their order
	 */
	static List<HeaderField> relayed(HttpHeaders headers) {
		Set<String> ofConnection = ofConnection(headers);
		List<HeaderField> l = new ArrayList<>();
		for (Map.Entry<String, String> e : headers) {
			String n = e.getKey().toLowerCase(Locale.ROOT);
			if (!NOT_RELAYED.contains(n) && !ofConnection.contains(n)) {
				l.add(new HeaderField(e.getKey(), e.getValue()));
			}
		}
		return l;
	}

	// What the sender itself names as fields of its connection.
	private static Set<String> ofConnection(HttpHeaders headers) {
		Set<String> names = new HashSet<>();
		for (String listed : headers.getAll("Connection")) {
			for (String one : listed.split(",")) {
				names.add(one.strip().toLowerCase(Locale.ROOT));
			}
		}
		return names;
	}

}
