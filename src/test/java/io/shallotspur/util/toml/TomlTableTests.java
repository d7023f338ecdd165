package io.shallotspur.util.toml;

import java.util.List;

import org.junit.jupiter.api.Test;

import io.shallotspur.exc.InputException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

class TomlTableTests {

	private final Problems problems = new Problems("f.toml");

	@Test
	void readsEachKindOfValue() throws Exception {
		TomlTable t = TomlTable.parse("""
				a = "x"
				n = 3
				f = 0.5
				b = true
				l = ["p", "q"]
				[t]
				k = 1
				[[r]]
				i = 0
				[[r]]
				i = 1
				""", this.problems);
		assertThat(t.text("a")).isEqualTo("x");
		assertThat(t.whole("n", 0, 9)).isEqualTo(3);
		assertThat(t.number("f", 0, 1)).isEqualTo(0.5);
		assertThat(t.flag("b")).isTrue();
		assertThat(t.texts("l")).containsExactly("p", "q");
		assertThat(t.table("t").whole("k", 0, 9)).isEqualTo(1);
		assertThat(t.tables("r")).extracting((r) -> r.whole("i", 0, 9)).containsExactly(0L, 1L);
		t.finish();
		assertThat(this.problems.list()).isEmpty();
	}

	@Test
	void givesAllProblemsAtOnceWithTheirKeys() throws Exception {
		TomlTable t = TomlTable.parse("""
				n = 30
				w = "blue"
				mispelt = 1
				[[r]]
				b = "yes"
				""", this.problems);
		t.whole("n", 0, 9);
		t.text("a");
		t.word("w", null, List.of("red", "green"));
		t.tables("r").get(0).flag("b");
		t.finish();
		assertThat(this.problems.list()).extracting(Problem::key).containsExactly("n", "a", "w", "r[0].b", "mispelt");
		assertThat(this.problems.toString())
			.contains("f.toml: n: the value 30 is not allowed; allowed: a whole number");
	}

	@Test
	void saysWhereATextIsNotToml() {
		assertThatExceptionOfType(InputException.class)
			.isThrownBy(() -> TomlTable.parse("a = 1\nb = = 2\n", this.problems))
			.satisfies((ex) -> assertThat(ex.getLocation()).isEqualTo("f.toml:2"));
	}

	@Test
	void aNumberThatIsNotANumberIsOutOfRange() throws Exception {
		TomlTable t = TomlTable.parse("f = nan\n", this.problems);
		t.number("f", 0, 1);
		assertThat(this.problems.list()).hasSize(1);
	}

}
