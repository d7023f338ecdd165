package io.shallotspur.boot;

import java.nio.file.Path;
import java.util.List;

import io.shallotspur.adapter.admin.AdminSettings;
import io.shallotspur.adapter.caller.CallerSettings;
import io.shallotspur.adapter.peer.PeerSettings;
import io.shallotspur.adapter.peer.PeerTls;
import io.shallotspur.adapter.store.StoreBudget;
import io.shallotspur.cfg.CallersSection;
import io.shallotspur.cfg.Endpoint;
import io.shallotspur.cfg.LedgerSection;
import io.shallotspur.cfg.PeersSection;
import io.shallotspur.cfg.PlatformSection;
import io.shallotspur.cfg.Settings;
import io.shallotspur.fleet.Worker;
import io.shallotspur.ledger.LedgerLimits;
import io.shallotspur.node.ledger.LedgerSettings;
import io.shallotspur.resume.ResumeKey;
import io.shallotspur.resume.ResumeTokens;

/**
 * Turns the sections of the settings file into the settings of the parts. Stateless.
 */
final class SettingsMapping {

	private SettingsMapping() {
	}

	static PeerSettings peers(Settings s) {
		PeersSection p = s.peers();
		PeerSettings r = PeerSettings.of(p.listen().host(), p.listen().port(), s.node().clusterId(),
				p.secret().bytes());
		r = r.withSizes(p.maxFrameBytes(), r.sendQueueBytes(), r.maxLinks());
		if (p.tlsCertFile().isEmpty()) {
			return r;
		}
		return r.withTls(new PeerTls(Path.of(p.tlsCertFile()), Path.of(p.tlsKeyFile()), Path.of(p.tlsTrustFile())));
	}

	static CallerSettings callers(CallersSection c) {
		CallerSettings d = CallerSettings.defaults();
		return d.toBuilder()
			.listen(c.listen().host(), c.listen().port())
			.maxHead(c.maxHeaderBytes(), d.maxLineBytes())
			.maxBodyBytes(c.maxBodyBytes())
			.maxConnections(c.maxConnections())
			.timeouts(c.idleTimeoutMs(), c.readTimeoutMs(), d.requestTimeoutMs())
			.build();
	}

	static AdminSettings admin(Settings s) {
		Endpoint e = s.admin().listen();
		return AdminSettings.of(e.host(), e.port(), s.admin().token().value());
	}

	static StoreBudget budget(PlatformSection p) {
		return new StoreBudget(p.readsPerS(), p.writesPerS(), p.timeoutMs());
	}

	static LedgerSettings ledger(LedgerSection l, long storeTimeoutMs) {
		LedgerLimits limits = LedgerLimits.of(l.shards(), l.batchMs(), l.windowMs());
		return LedgerSettings.DEFAULT.withLimits(limits).withStoreTimeout(storeTimeoutMs);
	}

	static ResumeTokens resume(Settings s) {
		List<ResumeKey> keys = s.resume()
			.keys()
			.stream()
			.map((k) -> new ResumeKey(k.id(), k.secret().bytes()))
			.toList();
		return new ResumeTokens(keys, s.resume().tokenTtlMs());
	}

	static List<Worker> workers(Settings s) {
		return s.upstreams().stream().flatMap((u) -> u.workers().stream()).toList();
	}

	static String url(Endpoint e) {
		return "http://" + e;
	}

}
