package io.shallotspur.membership;

import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import net.openhft.hashing.LongHashFunction;
import org.jspecify.annotations.Nullable;

import io.shallotspur.membership.MembershipMessage.Ack;
import io.shallotspur.membership.MembershipMessage.Gossip;
import io.shallotspur.membership.MembershipMessage.Ping;
import io.shallotspur.membership.MembershipMessage.PingRequest;
import io.shallotspur.membership.MembershipMessage.SyncReply;
import io.shallotspur.membership.MembershipMessage.SyncRequest;
import io.shallotspur.port.VmEntry;

/**
 * The failure detector of one entry VM, after SWIM: in each period one member is probed,
 * directly and then through others; one that does not answer is suspected and has some
 * time to refute; statements travel with the probes and, while new, at once.
 * <p>
 * Not thread-safe: one thread at a time calls it, with {@code now} never falling. It
 * reads no clock and does no input or output.
 * <p>
 * Invariants: only this VM raises its own incarnation; a statement never replaces a newer
 * one; this VM is missing from its own view while it joins, and after a pause until a
 * peer has heard of its new incarnation.
 */
public final class Membership {

	/**
	 * The longest time between two calls of {@link #tick}, in milliseconds.
	 */
	public static final long TICK_MS = 100;

	private static final int JOIN_PERIODS = 3;

	private static final int DIFFERENCES_BEFORE_SYNC = 3;

	private static final int PUSHES_PER_PERIOD = 10;

	private final MembershipSettings settings;

	private final Random random;

	private final Statements statements;

	private final Candidates candidates = new Candidates();

	private Member self;

	private View view;

	private @Nullable Member probed;

	private long probe;

	private boolean indirect;

	private long probedAt;

	private long nextPeriodAt;

	private long nextCandidateAt;

	private long lastSeen;

	private boolean outside = true;

	private long insideAt;

	private int differences;

	private int pushes;

	private boolean leaving;

	/**
	 * Creates the detector of a VM that has not joined.
	 * @param self this VM; its incarnation is the start time of the process
	 * @param settings times and sizes
	 * @param seed for the order of probes
	 * @param now the present time in milliseconds
	 */
	public Membership(Member self, MembershipSettings settings, long seed, long now) {
		this.self = self;
		this.settings = settings;
		// Random numbers of neighbouring seeds resemble each other. Seeds made from names
		// like vm-1 and vm-2 would make all VMs probe the same member at the same time,
		// and find the death of another one seconds later than they should.
		this.random = new Random(LongHashFunction.xx3().hashLong(seed));
		this.lastSeen = now;
		this.nextPeriodAt = now + this.random.nextInt((int) settings.periodMs());
		this.insideAt = now + JOIN_PERIODS * settings.periodMs();
		this.statements = new Statements(settings, this.random);
		this.statements.table().put(self);
		this.view = new View(self, List.of(), List.of(), 0);
	}

	/**
	 * Returns the present view.
	 * @return an immutable view
	 */
	public View view() {
		return this.view;
	}

	/**
	 * Lets time pass.
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 */
	public void tick(long now, Consumer<MembershipAction> out) {
		notice(now, out);
		Member p = this.probed;
		if (p != null && !this.indirect && now >= this.probedAt + this.settings.directTimeoutMs()) {
			probeThroughOthers(p, out);
		}
		if (now >= this.nextPeriodAt) {
			if (p != null) {
				this.probed = null;
				this.statements.unanswered(p, now);
			}
			this.nextPeriodAt = now + this.settings.periodMs();
			this.pushes = 0;
			startProbe(now, out);
		}
		if (now >= this.nextCandidateAt) {
			this.nextCandidateAt = now + this.settings.candidateMs();
			tryCandidates(out);
		}
		if (this.outside && now >= this.insideAt) {
			enter();
		}
		this.statements.expire(now);
		finish(now, out);
	}

	/**
	 * Takes the VM list.
	 * @param list the entries; those without a peer address are skipped
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 */
	public void candidates(List<VmEntry> list, long now, Consumer<MembershipAction> out) {
		notice(now, out);
		this.candidates.set(list);
		this.statements.markChanged();
		if (this.statements.others(this.self.id()).isEmpty()) {
			tryCandidates(out);
		}
		finish(now, out);
	}

	/**
	 * Announces the leave of this VM. It stays a member that finishes what it has.
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 */
	public void leave(long now, Consumer<MembershipAction> out) {
		notice(now, out);
		startLeaving();
		finish(now, out);
	}

	/**
	 * Announces that this VM is gone, so that nobody has to find out by probing.
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 */
	public void left(long now, Consumer<MembershipAction> out) {
		this.pushes = 0;
		speak(this.self.withStatus(MemberStatus.DEAD));
		finish(now, out);
	}

	/**
	 * Answers a probe.
	 * @param ping the probe
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 * @return the answer
	 */
	public Ack onPing(Ping ping, long now, Consumer<MembershipAction> out) {
		notice(now, out);
		hear(ping.from(), now);
		ping.updates().forEach((m) -> hear(m, now));
		compare(ping.digest(), ping.from(), out);
		Ack a = new Ack(this.self, this.statements.table().digest(), this.statements.updatesFor(ping.from().id()));
		finish(now, out);
		return a;
	}

	/**
	 * Takes the answer to a probe.
	 * @param probe number of the probe
	 * @param ack the answer
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 */
	public void onAck(long probe, Ack ack, long now, Consumer<MembershipAction> out) {
		notice(now, out);
		hear(ack.from(), now);
		ack.updates().forEach((m) -> hear(m, now));
		Member p = this.probed;
		// Another VM may have taken over the address: its answer is no sign of life of
		// the one that was meant.
		if (p != null && probe == this.probe && ack.from().id().equals(p.id())) {
			this.probed = null;
		}
		// A VM that enters with half of the members in its table would take cells for its
		// own that belong to the other half.
		if (this.outside && ack.digest() == this.statements.table().digest()) {
			enter();
		}
		else if (this.outside) {
			this.differences = DIFFERENCES_BEFORE_SYNC;
		}
		compare(ack.digest(), ack.from(), out);
		finish(now, out);
	}

	/**
	 * Takes gossip.
	 * @param gossip the statements
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 */
	public void onGossip(Gossip gossip, long now, Consumer<MembershipAction> out) {
		notice(now, out);
		gossip.updates().forEach((m) -> hear(m, now));
		finish(now, out);
	}

	/**
	 * Answers a request for missing statements.
	 * @param request the request
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 * @return the answer
	 */
	public SyncReply onSyncRequest(SyncRequest request, long now, Consumer<MembershipAction> out) {
		notice(now, out);
		hear(request.from(), now);
		finish(now, out);
		return new SyncReply(this.statements.table().differing(request.digests()));
	}

	/**
	 * Takes missing statements.
	 * @param reply the statements
	 * @param now the present time in milliseconds
	 * @param out receives the actions
	 */
	public void onSync(SyncReply reply, long now, Consumer<MembershipAction> out) {
		notice(now, out);
		reply.members().forEach((m) -> hear(m, now));
		this.statements.dropFreshOfOthers(this.self.id());
		enter();
		finish(now, out);
	}

	private void notice(long now, Consumer<MembershipAction> out) {
		long gap = now - this.lastSeen;
		this.lastSeen = now;
		if (gap < this.settings.pauseMs()) {
			return;
		}
		// The process was stopped or starved. Its peers may have given its cells to
		// others, and every answer it waited for is late through its own fault. It
		// starts a new incarnation, owns nothing until a peer has heard of it, and blames
		// nobody for that time.
		this.statements.prolong(gap);
		this.probed = null;
		this.nextPeriodAt = now + this.settings.periodMs();
		this.pushes = 0;
		this.outside = !this.statements.others(this.self.id()).isEmpty();
		this.insideAt = now + this.settings.suspicionMs(this.statements.table().size());
		speak(this.self.withIncarnation(this.self.incarnation() + 1));
		for (Member m : this.statements.pick(this.settings.indirectProbes(), this.self.id(), "")) {
			out.accept(new MembershipAction.Probe(m.peerAddress(), ++this.probe, ping(m)));
		}
	}

	private void hear(Member m, long now) {
		if (m.id().equals(this.self.id())) {
			hearOfSelf(m);
		}
		else {
			this.statements.hear(m, now);
		}
	}

	private void speak(Member m) {
		boolean asLeaving = this.leaving && m.status() == MemberStatus.ALIVE;
		this.self = asLeaving ? m.withStatus(MemberStatus.LEAVING) : m;
		this.statements.speak(this.self);
	}

	private void startLeaving() {
		if (!this.leaving) {
			this.leaving = true;
			speak(this.self.withStatus(MemberStatus.LEAVING));
		}
	}

	private void enter() {
		this.outside = false;
		this.statements.markChanged();
	}

	private void hearOfSelf(Member m) {
		boolean wrong = m.status() != this.self.status() && m.status() != MemberStatus.ALIVE;
		long above = m.incarnation() - this.self.incarnation();
		if (above < 0 || (above == 0 && !wrong) || this.self.status() == MemberStatus.DEAD) {
			return;
		}
		// Either a false suspicion, or the memory of an earlier life of this VM whose
		// clock ran ahead. Without a higher incarnation nobody would believe this one.
		if (m.status() == MemberStatus.DEAD && !this.statements.others(this.self.id()).isEmpty()) {
			this.outside = true;
			this.insideAt = this.lastSeen + this.settings.suspicionMs(this.statements.table().size());
		}
		speak(this.self.withIncarnation(m.incarnation() + 1));
	}

	private void startProbe(long now, Consumer<MembershipAction> out) {
		Member m = this.statements.nextToProbe(this.self.id());
		if (m == null) {
			return;
		}
		this.probed = m;
		this.probedAt = now;
		this.indirect = false;
		out.accept(new MembershipAction.Probe(m.peerAddress(), ++this.probe, ping(m)));
	}

	private void probeThroughOthers(Member target, Consumer<MembershipAction> out) {
		this.indirect = true;
		for (Member m : this.statements.pick(this.settings.indirectProbes(), this.self.id(), target.id())) {
			out.accept(new MembershipAction.ProbeThrough(m.peerAddress(), this.probe,
					new PingRequest(target, ping(target))));
		}
	}

	private void tryCandidates(Consumer<MembershipAction> out) {
		int count = this.statements.others(this.self.id()).isEmpty() ? this.settings.indirectProbes() : 1;
		for (Member m : this.candidates.pick(count, this.self.id(), this.statements.table(), this.random)) {
			// No probe of the present period has this number, so a silent candidate is
			// never suspected: it was not known to be alive.
			out.accept(new MembershipAction.Probe(m.peerAddress(), 0, ping(m)));
		}
	}

	private void compare(long digest, Member peer, Consumer<MembershipAction> out) {
		this.differences = (digest == this.statements.table().digest()) ? 0 : this.differences + 1;
		// While a statement spreads, tables differ for a moment. Only a difference that
		// stays is worth a whole exchange.
		if (this.differences > DIFFERENCES_BEFORE_SYNC) {
			this.differences = 0;
			out.accept(new MembershipAction.Sync(peer.peerAddress(),
					new SyncRequest(this.statements.table().digests(), this.self)));
		}
	}

	private Ping ping(Member target) {
		return new Ping(this.self, target.id(), this.statements.table().digest(),
				this.statements.updatesFor(target.id()));
	}

	private void finish(long now, Consumer<MembershipAction> out) {
		if (this.candidates.isLeaving(this.self.id())) {
			startLeaving();
		}
		push(out);
		if (!this.statements.takeChanged()) {
			return;
		}
		View v = this.statements.view(this.self, this.outside, this.candidates, this.view.version() + 1);
		if (!v.live().equals(this.view.live()) || !v.leaving().equals(this.view.leaving())) {
			this.view = v;
			out.accept(new MembershipAction.ViewChanged(v));
		}
	}

	private void push(Consumer<MembershipAction> out) {
		// When a whole hall fails or joins, pushing each statement at once would flood
		// the links; what is over the limit travels with the probes.
		List<Member> news = this.statements.takeFresh();
		if (news.isEmpty() || this.pushes >= PUSHES_PER_PERIOD) {
			return;
		}
		this.pushes++;
		for (Member m : this.statements.pick(this.settings.fanout(), this.self.id(), "")) {
			out.accept(new MembershipAction.Send(m.peerAddress(), new Gossip(news)));
		}
	}

}
