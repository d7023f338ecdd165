package io.shallotspur.record;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import io.shallotspur.exc.InputException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Properties of the encoding and the merging of records.
 */
class RecordCodecTests {

	private static final long MAX_MICROS = 86_400_000_000L;

	@Property(tries = 200, seed = "42")
	void decodingGivesBackWhatWasEncoded(@ForAll("ends") List<RequestEnd> ends) throws Exception {
		RecordPart part = part(ends);
		RecordPart read = RecordCodec.decode(RecordCodec.encode(part), "k");
		assertThat(read.key()).isEqualTo(part.key());
		assertThat(read.slices().keySet()).isEqualTo(part.slices().keySet());
		part.slices().forEach((k, c) -> assertSame(read.slices().get(k), c));
		assertThat(RecordCodec.encode(read)).isEqualTo(RecordCodec.encode(part));
	}

	@Property(tries = 200, seed = "42")
	void mergingAddsUpInAnyOrder(@ForAll("ends") List<RequestEnd> ends, @ForAll Random random) throws Exception {
		List<RequestEnd> shuffled = new ArrayList<>(ends);
		Collections.shuffle(shuffled, random);
		int cut = random.nextInt(ends.size() + 1);
		ClassCounts whole = new ClassCounts();
		ends.forEach(whole::add);
		ClassCounts merged = new ClassCounts();
		for (List<RequestEnd> l : List.of(shuffled.subList(0, cut), shuffled.subList(cut, ends.size()))) {
			RecordCodec.decode(RecordCodec.encode(part(l)), "k").slices().values().forEach(merged::merge);
		}
		assertSame(merged, whole);
	}

	@Property(tries = 300, seed = "42")
	void damagedBytesAreATypedError(@ForAll byte[] bytes) {
		byte[] good = RecordCodec.encode(part(List.of(RecordTestData.end("acme", Verdict.MET, 5))));
		byte[] cut = Arrays.copyOf(good, good.length - 1);
		assertThatExceptionOfType(InputException.class).isThrownBy(() -> RecordCodec.decode(cut, "k"));
		if (bytes.length < 6) {
			assertThatExceptionOfType(InputException.class).isThrownBy(() -> RecordCodec.decode(bytes, "k"));
		}
	}

	@Provide
	Arbitrary<List<RequestEnd>> ends() {
		Arbitrary<String> names = Arbitraries.of("acme", "globex", "a/b", "ü");
		Arbitrary<Long> micros = Arbitraries.longs().between(0, MAX_MICROS);
		return Combinators
			.combine(names, names, Arbitraries.of(Verdict.class), micros.injectNull(0.1),
					micros.array(long[].class).ofMaxSize(5), Arbitraries.longs().between(0, 100_000))
			.as((c, k, v, t, g, w) -> new RequestEnd(c, k, v, (t != null) ? t : RequestEnd.NO_TOKEN, g, 2 * w, w))
			.list()
			.ofMaxSize(40);
	}

	private static RecordPart part(List<RequestEnd> ends) {
		SortedMap<SliceKey, ClassCounts> slices = new TreeMap<>();
		for (RequestEnd e : ends) {
			slices
				.computeIfAbsent(new SliceKey(e.customer(), e.className(), e.prefillTokens() % 3),
						(k) -> new ClassCounts())
				.add(e);
		}
		return new RecordPart("node-1", 7, 3, 0, 2, slices);
	}

	private static void assertSame(ClassCounts a, ClassCounts b) {
		for (Verdict v : Verdict.values()) {
			assertThat(a.count(v)).isEqualTo(b.count(v));
		}
		assertThat(a.prefillTokens()).isEqualTo(b.prefillTokens());
		assertThat(a.wastedPrefillTokens()).isEqualTo(b.wastedPrefillTokens());
		assertThat(a.ttft()).isEqualTo(b.ttft());
		assertThat(a.tbt()).isEqualTo(b.tbt());
	}

}
