package io.shallotspur.adapter.caller;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import io.shallotspur.node.AnswerPart;
import io.shallotspur.node.CallerRequest;
import io.shallotspur.node.Location;
import io.shallotspur.node.RefusedException;
import io.shallotspur.node.RequestHandler;
import io.shallotspur.node.ResumeRequest;
import io.shallotspur.outcome.Refusal;
import io.shallotspur.outcome.RefusalCode;

/**
 * The resources of the callers' HTTP. Thread-safe.
 */
final class CallerRoutes {

	private static final String LOCATE = "/v1/locate";

	private static final String COMPLETIONS = "/v1/completions";

	private static final String CHAT = "/v1/chat/completions";

	private static final String UPSTREAMS = "/v1/upstreams/";

	private static final String JSON = "application/json";

	private static final long MS_PER_SECOND = 1000;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private final CallerSettings settings;

	private final RequestHandler handler;

	private final RequestReader reader;

	private final AtomicLong lastAnswer = new AtomicLong();

	CallerRoutes(CallerSettings settings, RequestHandler handler) {
		this.settings = settings;
		this.handler = handler;
		this.reader = new RequestReader(settings.maxBodyBytes());
	}

	Mono<Void> handle(HttpServerRequest req, HttpServerResponse res) {
		String path;
		try {
			path = new QueryStringDecoder(req.uri()).path();
		}
		catch (IllegalArgumentException ex) {
			return Mono.error(malformed("The path cannot be decoded: " + ex.getMessage()));
		}
		if (path.equals(LOCATE) && req.method().equals(HttpMethod.GET)) {
			return locate(req, res);
		}
		if ((path.equals(COMPLETIONS) || path.equals(CHAT)) && req.method().equals(HttpMethod.POST)) {
			return model(req, res, path.equals(CHAT));
		}
		if (path.startsWith(UPSTREAMS)) {
			return plain(req, res);
		}
		return Mono.error(malformed("There is no such resource, or it has no such method."));
	}

	static Mono<Void> body(HttpServerResponse res, int status, String type, byte[] body) {
		if (!type.isEmpty()) {
			res.header(HttpHeaderNames.CONTENT_TYPE, type);
		}
		return res.status(status)
			.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(body.length))
			.sendObject(Unpooled.wrappedBuffer(body))
			.then();
	}

	private Mono<Void> locate(HttpServerRequest req, HttpServerResponse res) {
		Map<String, List<String>> q = new QueryStringDecoder(req.uri()).parameters();
		String customer = String.join("", q.getOrDefault("customer", List.of()));
		String className = String.join("", q.getOrDefault("class", List.of()));
		return this.handler.locate(customer, className).flatMap((l) -> body(res, 200, JSON, json(l)));
	}

	private Mono<Void> model(HttpServerRequest req, HttpServerResponse res, boolean chat) {
		return this.reader.read(req).flatMap((r) -> {
			CompletionFormat f = new CompletionFormat(chat, answerId(), System.currentTimeMillis() / MS_PER_SECOND);
			try {
				String token = RequestReader.header(req, RequestReader.RESUME);
				if (!token.isEmpty()) {
					long from = RequestReader.number(req, RequestReader.LAST_EVENT, -1) + 1;
					return stream(res, f, this.handler.resume(new ResumeRequest(r.bearer(), token, from)));
				}
				return wantsStream(r) ? stream(res, f, this.handler.model(r)) : whole(res, f, this.handler.model(r));
			}
			catch (RefusedException ex) {
				return Mono.error(ex);
			}
		});
	}

	private Mono<Void> plain(HttpServerRequest req, HttpServerResponse res) {
		String rest = req.uri().substring(UPSTREAMS.length());
		int slash = rest.indexOf('/');
		if (slash <= 0) {
			return Mono.error(malformed("The path needs an upstream and a path of its own behind it."));
		}
		String type = RequestReader.header(req, HttpHeaderNames.CONTENT_TYPE.toString());
		return this.reader.read(req)
			.flatMap((r) -> this.handler.plain(r, rest.substring(0, slash), req.method().name(), rest.substring(slash),
					type))
			.flatMap((p) -> body(res, p.status(), p.contentType(), p.body()));
	}

	// The status is sent with the first part, so that a refusal before it is a problem
	// document with its own status.
	private Mono<Void> stream(HttpServerResponse res, CompletionFormat f, Flux<AnswerPart> answer) {
		return answer.switchOnFirst((first, all) -> {
			if (first.isOnError()) {
				return Mono.<Void>error(first.getThrowable());
			}
			return res.status(200)
				.header(HttpHeaderNames.CONTENT_TYPE, "text/event-stream")
				.header(HttpHeaderNames.CACHE_CONTROL, "no-cache")
				.send(events(res, f, all), (b) -> true);
		}).then();
	}

	private static Flux<ByteBuf> events(HttpServerResponse res, CompletionFormat f, Flux<AnswerPart> answer) {
		AtomicReference<Executor> loop = new AtomicReference<>(Runnable::run);
		res.withConnection((c) -> loop.set(c.channel().eventLoop()));
		return new EventBatches(answer, f, res.alloc(), loop.get());
	}

	private Mono<Void> whole(HttpServerResponse res, CompletionFormat f, Flux<AnswerPart> answer) {
		return Mono.defer(() -> {
			WholeAnswer w = new WholeAnswer(this.settings.maxAnswerBytes());
			return answer.doOnNext(w::take)
				.takeUntil((p) -> w.isOverLimit())
				.then(Mono.defer(() -> w.isOverLimit() ? Mono.error(tooLong())
						: body(res, 200, JSON, f.whole(w.text(), w.tokens()))));
		});
	}

	private String answerId() {
		return "cmpl-" + this.lastAnswer.incrementAndGet();
	}

	private static boolean wantsStream(CallerRequest r) throws RefusedException {
		try {
			return MAPPER.readTree(r.body()).path("stream").asBoolean(false);
		}
		catch (IOException ex) {
			throw malformed("The body is not JSON.");
		}
	}

	private static byte[] json(Location l) {
		try {
			return MAPPER.writeValueAsBytes(MAPPER.createObjectNode()
				.put("ttl_ms", l.ttlMs())
				.set("addresses", MAPPER.valueToTree(l.addresses())));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static RefusedException malformed(String detail) {
		return RefusedException.notRun(RefusalCode.MALFORMED_REQUEST, detail);
	}

	private static RefusedException tooLong() {
		return new RefusedException(Refusal.outcomeUnknown(RefusalCode.BODY_TOO_LARGE,
				"The answer is too long to be given at once; ask for a stream."));
	}

}
