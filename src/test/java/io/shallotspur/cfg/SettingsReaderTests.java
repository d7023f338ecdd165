package io.shallotspur.cfg;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import io.shallotspur.exc.SettingsException;
import io.shallotspur.fleet.WorkerRole;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class SettingsReaderTests {

	@TempDir
	private Path dir;

	@ParameterizedTest
	@ValueSource(strings = { "bilhete.toml", "lonestar.toml" })
	void theExamplesAreGood(String name) throws Exception {
		Settings s = SettingsReader.read(write(example(name)));
		assertThat(s.upstreams()).hasSize(2);
		assertThat(s.upstreams().get(0).workers()).anyMatch((w) -> w.role() == WorkerRole.DECODE && w.slots() == 20);
		assertThat(s.callers().advertise()).isEqualTo(s.callers().listen());
		assertThat(s.platform().vmList()).isEqualTo(new Endpoint("127.0.0.1", 8501));
	}

	@ParameterizedTest
	@ValueSource(strings = { "bilhete", "lonestar" })
	void theStandinsServeTheWorkersOfTheExample(String name) throws Exception {
		Settings s = SettingsReader.read(write(example(name + ".toml")));
		StandinSettings t = StandinSettingsReader.read(Path.of("examples", name + "-standin.toml"));
		assertThat(t.upstreams()).isEqualTo(s.upstreams());
		assertThat(t.store()).isEqualTo(s.platform().store());
		assertThat(t.vms()).singleElement().satisfies((v) -> assertThat(v.id()).isEqualTo(s.node().id()));
		assertThat(t.speeds()).hasSameSizeAs(t.upstreams().stream().flatMap((u) -> u.workers().stream()).toList());
	}

	@Test
	void secretsDoNotShowInTheTextForm() throws Exception {
		Settings s = SettingsReader.read(write(example("bilhete.toml")));
		assertThat(s.toString()).doesNotContain("a-secret-of-the-test");
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', textBlock = """
			listen = "127.0.0.1:8101"      | listen = "8101"              | callers.listen
			batch_ms = 200                 | batch_ms = "200"             | ledger.batch_ms
			shards = 32                    | shards = 1                   | ledger.shards
			format = "plain"               | format = "xml"               | log.format
			grace_ms = 60000               | grace = 60000                | drain.grace
			id = "resumo-2"                | id = "resumo-1"              | upstream[0].worker[1].id
			role = "prefill"               | role = "both"                | upstream[0].worker[0].role
			slots = 20                     | slots = 20.5                 | upstream[0].worker[5].slots
			a-secret-of-the-test-peer      | short                        | peers.secret
			store = "127.0.0.1:8500"       | store = "127.0.0.1:99999"    | platform.store
			""")
	void eachBadValueIsNamedByItsKey(String good, String bad, String key) throws Exception {
		Path f = write(example("bilhete.toml").replaceFirst(java.util.regex.Pattern.quote(good), bad));
		assertThatExceptionOfType(SettingsException.class).isThrownBy(() -> SettingsReader.read(f))
			.withMessageContaining(f + ": " + key + ":")
			.withMessageContaining("; allowed: ");
	}

	private static String example(String name) throws Exception {
		return Files.readString(Path.of("examples", name))
			.replace("env:SHALLOTSPUR_ADMIN_TOKEN", "a-secret-of-the-test-admin")
			.replace("env:SHALLOTSPUR_PEER_SECRET", "a-secret-of-the-test-peer")
			.replace("env:SHALLOTSPUR_RESUME_KEY", "a-secret-of-the-test-resume-32-long");
	}

	private Path write(String text) throws Exception {
		return Files.writeString(this.dir.resolve("s.toml"), text);
	}

}
