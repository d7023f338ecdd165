package io.shallotspur.membership;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class RendezvousTests {

	private static final int NAMES = 200;

	@Property(tries = 100, seed = "42")
	void onlyNamesOfTheLeaverMove(@ForAll @IntRange(min = 2, max = 60) int count,
			@ForAll @IntRange(max = 1000) int pick) {
		List<Member> before = members(count);
		Member gone = before.get(pick % count);
		List<Member> after = new ArrayList<>(before);
		after.remove(gone);
		for (int i = 0; i < NAMES; i++) {
			String name = "cell-" + i;
			Member was = Rendezvous.best(name, before).orElseThrow();
			Member is = Rendezvous.best(name, after).orElseThrow();
			assertThat(was.equals(gone) || was.equals(is)).isTrue();
			assertThat(Rendezvous.best(name, before, 3)).startsWith(was);
			assertThat(was.equals(gone) ? is : gone).isIn(Rendezvous.best(name, before, count));
		}
	}

	@Property(tries = 20, seed = "42")
	void namesSpreadEvenly(@ForAll @IntRange(min = 2, max = 20) int count) {
		List<Member> members = members(count);
		int[] owned = new int[count];
		for (int i = 0; i < 400 * count; i++) {
			owned[members.indexOf(Rendezvous.best("n" + i, members).orElseThrow())]++;
		}
		for (int n : owned) {
			assertThat(n).isBetween(300, 500);
		}
	}

	private static List<Member> members(int count) {
		List<Member> l = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			l.add(new Member("vm-" + i, "h", "a:" + i, "c:" + i, 1, MemberStatus.ALIVE));
		}
		return l;
	}

}
