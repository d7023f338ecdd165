package io.shallotspur.quarantine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of a part of prompts that crashes each worker that begins to write an answer to
 * it, and of the other parts and requests that were there.
 */
class CrashingPartSuspectsTests {

	private static final String UPSTREAM = "llm";

	private static final long FIRST = 100;

	private static final long BAD = 666;

	private static final long DOCUMENT = 200;

	private static final long CUSTOMER = 1;

	private static final long OTHER_CUSTOMER = 2;

	private final CrashSuspects suspects = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);

	private long nextFingerprint = 10_000;

	private long nextWorker;

	private static PartFingerprint part(long part, long customer) {
		return new PartFingerprint(part, part * 1_000 + customer);
	}

	private static RequestIdentity request(long fingerprint, long customer, long... parts) {
		return new RequestIdentity(fingerprint, LongStream.of(parts).mapToObj((p) -> part(p, customer)).toList());
	}

	// No two are alike but in the parts of their prompts.
	private RequestIdentity newRequest(long... parts) {
		return request(this.nextFingerprint++, CUSTOMER, parts);
	}

	private Set<Long> crash(CrashSuspects node, long at, RequestIdentity... running) {
		return node.recordCrash(new CrashedRuns("w" + this.nextWorker++, UPSTREAM,
				Arrays.stream(running).map((r) -> new CrashedRun(r, 0)).toList()), at);
	}

	private Set<Long> crash(long at, RequestIdentity... running) {
		return crash(this.suspects, at, running);
	}

	private static void answer(CrashSuspects node, long at, long... parts) {
		node.recordAnswer(request(0, CUSTOMER, parts).parts(), UPSTREAM, at);
	}

	private void answer(long at, long... parts) {
		answer(this.suspects, at, parts);
	}

	private boolean isRefused(long at, long... parts) {
		RequestIdentity r = newRequest(parts);
		this.suspects.review(r, at);
		return this.suspects.isQuarantined(r, at);
	}

	// Guards against requests that crash one worker after the other and have nothing in
	// common but a part of their prompts.
	@Test
	void quarantinesThePartThatDifferentRequestsShare() {
		answer(0, FIRST);
		crash(1_000, newRequest(FIRST, BAD));
		crash(2_000, newRequest(FIRST, BAD), newRequest(FIRST));
		Assertions.assertThat(isRefused(2_100, FIRST, BAD)).isFalse();
		answer(2_200, FIRST);
		Assertions.assertThat(crash(3_000, newRequest(FIRST, BAD))).containsExactly(BAD);
		Assertions.assertThat(isRefused(3_100, FIRST, BAD)).isTrue();
		Assertions.assertThat(isRefused(3_100, FIRST)).isFalse();
	}

	// Guards against refusing all sound requests of a route for the first part of their
	// prompts, as none of them is answered while workers crash.
	@Test
	void servesTheFirstPartThatWasAnsweredBefore() {
		answer(0, FIRST);
		for (int i = 1; i <= 12; i++) {
			crash(i * 400L, newRequest(FIRST, BAD), newRequest(FIRST));
		}
		Assertions.assertThat(isRefused(6_000, FIRST, BAD)).isTrue();
		Assertions.assertThat(isRefused(6_000, FIRST)).isFalse();
	}

	// Guards against a part that is never refused, as no answer tells it from another
	// part that always comes with it; the later one refuses fewer requests.
	@Test
	void quarantinesTheLastOfTheEquallyLikelyPartsOfAPrompt() {
		answer(0, 1);
		for (int i = 1; i <= 4; i++) {
			crash(i * 1_000L, newRequest(FIRST, BAD));
			Assertions.assertThat(isRefused(i * 1_000L + 10, FIRST, BAD)).isFalse();
		}
		Assertions.assertThat(crash(5_000, newRequest(FIRST, BAD))).containsExactly(BAD);
		Assertions.assertThat(isRefused(5_100, FIRST)).isFalse();
	}

	// Guards against blaming a later part for the one before it.
	@Test
	void quarantinesAPartBeforeOthersThatAreShared() {
		answer(0, FIRST);
		crash(1_000, newRequest(FIRST, BAD, DOCUMENT));
		crash(2_000, newRequest(FIRST, BAD, DOCUMENT));
		answer(2_500, FIRST, DOCUMENT);
		crash(3_000, newRequest(FIRST, BAD, DOCUMENT));
		Assertions.assertThat(isRefused(4_000, FIRST, BAD)).isTrue();
		Assertions.assertThat(isRefused(4_000, FIRST, DOCUMENT)).isFalse();
	}

	// Guards against refusing requests that share a part with one that crashes workers by
	// itself and comes again.
	@Test
	void quarantinesARequestThatComesAgainAndNotItsParts() {
		answer(0, FIRST);
		for (int i = 1; i <= 3; i++) {
			crash(i * 1_000L, request(BAD, CUSTOMER, FIRST, DOCUMENT));
		}
		Assertions.assertThat(this.suspects.isQuarantined(request(BAD, CUSTOMER, FIRST, DOCUMENT), 3_000)).isTrue();
		Assertions.assertThat(isRefused(3_100, FIRST, DOCUMENT)).isFalse();
	}

	// Guards against a part that goes on crashing workers, as one of its requests came
	// again and was taken for the cause.
	@Test
	void quarantinesAPartOfARequestThatWasTakenForTheCause() {
		answer(0, FIRST);
		for (int i = 1; i <= 3; i++) {
			crash(i * 1_000L, request(BAD, CUSTOMER, FIRST, DOCUMENT));
		}
		answer(3_500, FIRST);
		Assertions.assertThat(crash(4_000, newRequest(FIRST, DOCUMENT))).isEmpty();
		Assertions.assertThat(crash(5_000, newRequest(FIRST, DOCUMENT))).containsExactly(DOCUMENT);
	}

	// Guards against refusing what all workers of a rack were running when it lost power.
	@Test
	void workersThatEndTogetherAreOneCrash() {
		answer(0, FIRST);
		for (int i = 0; i < 6; i++) {
			crash(1_000 + 10L * i, newRequest(FIRST, DOCUMENT));
		}
		answer(1_500, FIRST);
		Assertions.assertThat(isRefused(3_000, FIRST, DOCUMENT)).isFalse();
		Assertions.assertThat(isRefused(3_000, FIRST)).isFalse();
	}

	// Guards against refusing everything when all workers end one after the other, for
	// whatever reason, and nothing is answered.
	@Test
	void doesNotRefuseWhatAllPromptsShareWhileNothingIsAnswered() {
		for (int i = 1; i <= 12; i++) {
			crash(i * 1_000L, newRequest(FIRST));
		}
		Assertions.assertThat(isRefused(13_000, FIRST)).isFalse();
	}

	// Guards against refusing everything when the workers of another upstream answer.
	@Test
	void answersOfOtherUpstreamsDoNotCount() {
		for (int i = 1; i <= 12; i++) {
			crash(i * 1_000L, newRequest(FIRST));
			this.suspects.recordAnswer(List.of(), "other", i * 1_000L + 500);
		}
		Assertions.assertThat(isRefused(13_000, FIRST)).isFalse();
	}

	// Guards against a customer that names the parts of another one in prompts that crash
	// workers, so that the other one is refused.
	@Test
	void doesNotRefuseCustomersThatWereNotThere() {
		answer(0, FIRST);
		for (int i = 1; i <= 5; i++) {
			crash(i * 1_000L, newRequest(FIRST, DOCUMENT));
		}
		Assertions.assertThat(isRefused(6_000, FIRST, DOCUMENT)).isTrue();
		RequestIdentity other = request(1, OTHER_CUSTOMER, FIRST, DOCUMENT);
		Assertions.assertThat(this.suspects.isQuarantined(other, 6_000)).isFalse();
		crash(7_000, other);
		Assertions.assertThat(this.suspects.isQuarantined(request(2, OTHER_CUSTOMER, FIRST, DOCUMENT), 7_000)).isTrue();
	}

	// Guards against a part that crashes workers for customer after customer.
	@Test
	void refusesAllCustomersOnceManyWereThere() {
		answer(0, FIRST);
		for (int i = 0; i < Suspect.MAX_CUSTOMERS; i++) {
			crash(i * 1_000L, request(i, 10 + i, FIRST, BAD));
		}
		answer(4_000, FIRST);
		RequestIdentity other = request(1, OTHER_CUSTOMER, FIRST, BAD);
		this.suspects.review(other, 5_000);
		Assertions.assertThat(this.suspects.isQuarantined(other, 5_000)).isTrue();
	}

	// Guards against a quarantine of a sound part that outlasts the proof that it is
	// sound.
	@Test
	void anAnswerEndsTheQuarantineOfAPart() {
		answer(0, FIRST);
		for (int i = 1; i <= 3; i++) {
			crash(i * 1_000L, newRequest(FIRST, DOCUMENT));
		}
		answer(3_500, FIRST);
		Assertions.assertThat(isRefused(4_000, FIRST, DOCUMENT)).isTrue();
		answer(5_000, FIRST, DOCUMENT);
		Assertions.assertThat(isRefused(5_100, FIRST, DOCUMENT)).isFalse();
		Assertions.assertThat(this.suspects.drainChangedSuspects(5_100))
			.extracting(Suspect::fingerprint)
			.contains(DOCUMENT);
	}

	// Guards against a quarantine that its refusals prolong for ever.
	@Test
	void theQuarantineOfAPartEnds() {
		answer(0, FIRST);
		for (int i = 1; i <= 3; i++) {
			crash(i * 1_000L, newRequest(FIRST, BAD));
		}
		answer(3_500, FIRST);
		long end = 3_000 + QuarantineLimits.SHARED_WORKERS.quarantineTtlMs();
		Assertions.assertThat(isRefused(end - 1, FIRST, BAD)).isTrue();
		Assertions.assertThat(isRefused(end, FIRST, BAD)).isFalse();
	}

	// Guards against refusing a sound request that was unlucky three times.
	@Test
	void doesNotRefuseARequestThatRanBesideThePart() {
		answer(0, FIRST);
		RequestIdentity unlucky = newRequest(FIRST);
		crash(1_000, newRequest(FIRST, BAD));
		for (int i = 2; i <= 4; i++) {
			crash(i * 1_000L, newRequest(FIRST, BAD), unlucky);
		}
		this.suspects.review(unlucky, 6_000);
		Assertions.assertThat(this.suspects.isQuarantined(unlucky, 6_000)).isFalse();
	}

	// Guards against a node that has just started and blames a part of which the others
	// know that it is answered all the time.
	@Test
	void aNodeThatKnowsAnAnswerCorrectsTheOthers() {
		CrashSuspects fresh = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		answer(0, DOCUMENT);
		List<Suspect> published = new ArrayList<>();
		for (int i = 1; i <= 3; i++) {
			crash(fresh, i * 1_000L, newRequest(DOCUMENT));
		}
		answer(fresh, 3_500, FIRST);
		fresh.review(newRequest(DOCUMENT), 4_000);
		published.addAll(fresh.drainChangedSuspects(4_000));
		Assertions.assertThat(fresh.isQuarantined(newRequest(DOCUMENT), 4_000)).isTrue();
		answer(3_800, DOCUMENT);
		this.suspects.mergeSuspects(published, 4_100);
		Assertions.assertThat(this.suspects.isQuarantined(newRequest(DOCUMENT), 4_100)).isFalse();
		fresh.mergeSuspects(this.suspects.drainChangedSuspects(4_200), 4_200);
		Assertions.assertThat(fresh.isQuarantined(newRequest(DOCUMENT), 4_200)).isFalse();
	}

	// Guards against a node that has seen no crash and refuses by what others have seen
	// of
	// different crashes, without knowing whether anything is answered.
	@Test
	void anotherNodeTakesOverAQuarantineAndDecidesNone() {
		CrashSuspects other = new CrashSuspects(QuarantineLimits.SHARED_WORKERS);
		answer(0, FIRST);
		crash(1_000, newRequest(FIRST, BAD));
		crash(2_000, newRequest(FIRST, BAD));
		other.mergeSuspects(this.suspects.drainChangedSuspects(2_000), 2_000);
		answer(2_500, FIRST);
		crash(3_000, newRequest(FIRST, BAD));
		Assertions.assertThat(other.isQuarantined(newRequest(FIRST, BAD), 3_100)).isFalse();
		Assertions.assertThat(other.mergeSuspects(this.suspects.drainChangedSuspects(3_200), 3_200))
			.containsExactly(BAD);
		Assertions.assertThat(other.isQuarantined(newRequest(FIRST, BAD), 3_300)).isTrue();
	}

	// Guards against a table that one caller fills with parts.
	@Test
	void theTableStaysBounded() {
		for (int i = 0; i < 1_000; i++) {
			long[] parts = LongStream.range(i * 32L, (i + 1) * 32L).toArray();
			crash(i, newRequest(parts));
		}
		Assertions.assertThat(this.suspects.size()).isLessThanOrEqualTo(QuarantineLimits.SHARED_WORKERS.maxEntries());
	}

}
