package io.shallotspur.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@Test
	void listsTheCommandsOnRequest() {
		assertThat(run("--help")).isZero();
		assertThat(this.out.toString(StandardCharsets.UTF_8)).contains("check", "version");
		assertThat(this.err.size()).isZero();
	}

	@Test
	void everyCommandHasItsHelp() {
		for (CommandEntry<?> e : Main.entries()) {
			assertThat(run(e.name(), "--help")).as(e.name()).isZero();
		}
		assertThat(this.err.size()).isZero();
	}

	@Test
	void anUnknownCommandOrOptionIsAUsageError() {
		assertThat(run()).isEqualTo(ExitCode.USAGE.code());
		assertThat(run("chekc")).isEqualTo(ExitCode.USAGE.code());
		assertThat(run("check", "--setings", "x")).isEqualTo(ExitCode.USAGE.code());
		assertThat(this.out.size()).isZero();
	}

	@Test
	void badSettingsAreAllNamedAndEndWithTheirOwnStatus(@TempDir Path dir) throws Exception {
		Path f = dir.resolve("s.toml");
		Files.writeString(f, "[node]\nid = \"vm-1\"\nhal = \"a\"\n");
		assertThat(run("check", "--settings", f.toString())).isEqualTo(ExitCode.BAD_INPUT.code());
		assertThat(this.err.toString(StandardCharsets.UTF_8)).contains("settings-invalid", "node.hal:", "node.hall:",
				"callers.listen:", "resume.key:", "upstream:");
	}

	private int run(String... args) {
		return new CommandLine(Main.entries(), new PrintStream(this.out, true, StandardCharsets.UTF_8),
				new PrintStream(this.err, true, StandardCharsets.UTF_8))
			.run(args);
	}

}
