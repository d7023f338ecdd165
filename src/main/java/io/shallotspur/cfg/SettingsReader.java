package io.shallotspur.cfg;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import io.shallotspur.exc.InputException;
import io.shallotspur.exc.SettingsException;
import io.shallotspur.util.toml.Problems;
import io.shallotspur.util.toml.TomlTable;

/**
 * Reads and checks a settings file. Stateless. Every problem of the file is in the
 * message of the one exception; {@code docs/SETTINGS.md} lists the keys.
 */
public final class SettingsReader {

	private static final long HOUR_MS = 3_600_000;

	private static final int MAX_SIZE = 1 << 30;

	private static final List<String> LEVELS = List.of("trace", "debug", "info", "warn", "error");

	private static final int MIN_SECRET = 16;

	private SettingsReader() {
	}

	/**
	 * Reads a file.
	 * @param file the settings file
	 * @return the settings
	 * @throws InputException if the file cannot be read or is not TOML
	 * @throws SettingsException if a value is not allowed; its message has one line for
	 * each problem
	 */
	public static Settings read(Path file) throws InputException, SettingsException {
		Problems p = new Problems(file.toString());
		TomlTable root = TomlTable.parse(file, p);
		Path base = file.toAbsolutePath().getParent();
		Settings s = read(root, base);
		if (!p.isEmpty()) {
			throw new SettingsException(p.toString(), file.toString());
		}
		return s;
	}

	private static Settings read(TomlTable root, Path base) {
		NodeIdentity node = node(root.table("node"));
		CallersSection callers = callers(root.table("callers"));
		AdminSection admin = admin(root.table("admin"), base);
		PeersSection peers = peers(root.table("peers"), base);
		PlatformSection platform = platform(root.table("platform"));
		LogSection log = log(root.table("log"));
		TomlTable ledgerTable = root.table("ledger");
		LedgerSection ledger = ledger(ledgerTable);
		checkWrites(ledgerTable, ledger, platform);
		ResumeSection resume = resume(root.table("resume"), base);
		TomlTable drain = root.table("drain");
		long grace = drain.whole("grace_ms", 60_000, 0, HOUR_MS);
		drain.finish();
		List<UpstreamSection> upstreams = UpstreamReader.read(root.tables("upstream"));
		if (upstreams.isEmpty()) {
			root.problem("upstream", "there is no upstream", "at least one [[upstream]]");
		}
		root.finish();
		return new Settings(node, callers, admin, peers, platform, log, ledger, resume, grace, upstreams);
	}

	private static NodeIdentity node(TomlTable t) {
		NodeIdentity n = new NodeIdentity(t.text("id"), t.text("hall"), t.text("cluster_id"));
		t.finish();
		return n;
	}

	private static CallersSection callers(TomlTable t) {
		Endpoint listen = Endpoint.read(t, "listen");
		Endpoint advertise = t.has("advertise") ? Endpoint.read(t, "advertise") : listen;
		CallersSection c = new CallersSection(listen, advertise,
				(int) t.whole("max_header_bytes", 16_384, 1_024, MAX_SIZE),
				(int) t.whole("max_body_bytes", 4 << 20, 1_024, MAX_SIZE),
				(int) t.whole("max_connections", 10_000, 1, 1_000_000),
				t.whole("idle_timeout_ms", 60_000, 100, HOUR_MS), t.whole("read_timeout_ms", 15_000, 100, HOUR_MS));
		t.finish();
		return c;
	}

	private static AdminSection admin(TomlTable t, Path base) {
		AdminSection a = new AdminSection(Endpoint.read(t, "listen"), secret(t, "token", base, MIN_SECRET));
		t.finish();
		return a;
	}

	private static PeersSection peers(TomlTable t, Path base) {
		Endpoint listen = Endpoint.read(t, "listen");
		Endpoint advertise = t.has("advertise") ? Endpoint.read(t, "advertise") : listen;
		PeersSection p = new PeersSection(listen, advertise, secret(t, "secret", base, MIN_SECRET),
				(int) t.whole("max_frame_bytes", 8 << 20, 65_536, MAX_SIZE), file(t, "tls_cert_file", base),
				file(t, "tls_key_file", base), file(t, "tls_trust_file", base));
		boolean some = !(p.tlsCertFile() + p.tlsKeyFile() + p.tlsTrustFile()).isEmpty();
		boolean all = !p.tlsCertFile().isEmpty() && !p.tlsKeyFile().isEmpty() && !p.tlsTrustFile().isEmpty();
		if (some && !all) {
			t.problem("tls_cert_file", "TLS needs certificate, key and trust file", "all three tls_ keys or none");
		}
		t.finish();
		return p;
	}

	private static PlatformSection platform(TomlTable t) {
		Endpoint store = Endpoint.read(t, "store");
		PlatformSection p = new PlatformSection(store, t.has("vm_list") ? Endpoint.read(t, "vm_list") : store,
				t.has("weight_store") ? Endpoint.read(t, "weight_store") : store,
				t.whole("timeout_ms", 1_000, 10, 60_000), t.number("writes_per_s", 200, 0.1, 10_000),
				t.number("reads_per_s", 1_000, 0.1, 10_000), t.whole("vm_list_poll_ms", 1_000, 100, 60_000));
		t.finish();
		return p;
	}

	private static LogSection log(TomlTable t) {
		LogSection l = new LogSection(t.word("level", "info", LEVELS),
				t.word("format", "plain", List.of("plain", "json")));
		t.finish();
		return l;
	}

	private static LedgerSection ledger(TomlTable t) {
		LedgerSection l = new LedgerSection((int) t.whole("shards", 32, 2, 4_096), t.whole("batch_ms", 200, 1, 10_000),
				t.whole("window_ms", 10 * 60_000, 60_000, 24 * HOUR_MS));
		t.finish();
		return l;
	}

	// Were the ledger's own bound above the budget, keyed requests would be refused for
	// want of budget at a load the ledger was set up for, and only then would it be
	// noticed.
	private static void checkWrites(TomlTable t, LedgerSection l, PlatformSection p) {
		double most = l.shards() * 1000.0 / l.batchMs();
		if (most > p.writesPerS()) {
			t.problem("batch_ms", "the shards may be written " + Math.round(most) + " times a second",
					"shards * 1000 / batch_ms at most platform.writes_per_s, " + p.writesPerS());
		}
	}

	private static ResumeSection resume(TomlTable t, Path base) {
		List<ResumeKey> keys = new ArrayList<>();
		for (TomlTable k : t.tables("key")) {
			keys.add(new ResumeKey(k.text("id"), secret(k, "secret", base, ResumeKey.MIN_CHARACTERS)));
			k.finish();
		}
		if (keys.isEmpty()) {
			t.problem("key", "there is no signing key", "at least one [[resume.key]]");
		}
		ResumeSection r = new ResumeSection(keys, t.whole("token_ttl_ms", 120_000, 1_000, 24 * HOUR_MS),
				t.whole("orphan_grace_ms", 10_000, 0, HOUR_MS));
		t.finish();
		return r;
	}

	private static Secret secret(TomlTable t, String key, Path base, int min) {
		String s = t.text(key);
		try {
			Secret r = Secret.resolve(s, base);
			if (!s.isEmpty() && r.value().length() < min) {
				t.problem(key, "the secret is too short", "at least " + min + " characters");
			}
			return r;
		}
		catch (SettingsException ex) {
			t.problem(key, ex.getMessage() + " (" + ex.getLocation() + ")", "a value, file:PATH or env:NAME");
			return Secret.of("");
		}
	}

	private static String file(TomlTable t, String key, Path base) {
		String s = t.text(key, "");
		if (s.isEmpty()) {
			return s;
		}
		Path f = base.resolve(s);
		if (!f.toFile().canRead()) {
			t.problem(key, "the file " + f + " cannot be read", "a file that can be read");
		}
		return f.toString();
	}

}
