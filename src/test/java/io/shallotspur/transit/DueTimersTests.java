package io.shallotspur.transit;

import java.util.ArrayList;
import java.util.List;

import org.assertj.core.api.Assertions;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link DueTimers}.
 */
class DueTimersTests {

	// Guards against a time limit that is enforced twice, too early, or after the answer.
	@Test
	void eachTimerRunsOnceWhenDueUnlessCancelled() {
		DueTimers timers = new DueTimers();
		List<String> ran = new ArrayList<>();
		timers.add(30, () -> ran.add("c"));
		DueTimers.Timer first = timers.add(10, () -> ran.add("a"));
		timers.add(20, () -> ran.add("b"));
		timers.add(15, () -> ran.add("never")).cancel();
		timers.runDue(9);
		Assertions.assertThat(ran).isEmpty();
		first.run();
		timers.runDue(20);
		timers.runDue(30);
		first.run();
		Assertions.assertThat(ran).containsExactly("a", "b", "c");
	}

}
