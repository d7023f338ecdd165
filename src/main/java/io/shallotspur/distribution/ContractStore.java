package io.shallotspur.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

import net.openhft.hashing.LongHashFunction;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.contract.Contract;
import io.shallotspur.exc.ContractConflictException;
import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.exc.StoreUnknownException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreRecord;

/**
 * The contracts in the key-value service. Thread-safe.
 * <p>
 * Invariants: a change is accepted only if its compare-and-swap took effect, and takes
 * effect at most once; the revision of a customer's contract only rises.
 */
public final class ContractStore {

	/**
	 * All records with contracts have keys under this prefix, followed by three
	 * hexadecimal digits of the customer's bucket.
	 */
	public static final String KEY_PREFIX = "contracts/";

	private static final int BUCKET_COUNT = 4096;

	private static final int MAX_ATTEMPTS = 8;

	private static final long RETRY_DELAY_MS = 50;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final KvStore store;

	private final LongFunction<Mono<?>> delay;

	/**
	 * Creates a view of the store.
	 * @param store the store
	 * @param delay completes after some milliseconds; used between tries
	 */
	public ContractStore(KvStore store, LongFunction<Mono<?>> delay) {
		this.store = store;
		this.delay = delay;
	}

	/**
	 * Carries out a change. Fails with {@link ContractConflictException} if the contract
	 * has another revision than the expected one, {@link StoreUnavailableException} if
	 * the change surely did not take effect, or {@link StoreUnknownException} if it may
	 * have; sending the same change again settles that.
	 * @param change the change, validated
	 * @return the contract with the revision under which it was accepted
	 */
	public Mono<Contract> apply(ContractChange change) {
		return attempt(change, 1, false);
	}

	/**
	 * Reads contracts.
	 * @param digits the first digits of the buckets that are wanted, or empty for all
	 * @return the contracts, tombstones among them
	 */
	public Mono<List<Contract>> list(String digits) {
		return this.store.list(KEY_PREFIX + digits).map(ContractStore::contracts);
	}

	/**
	 * Watches for changes.
	 * @return the contracts of the buckets that change; ends with an error when the store
	 * is lost
	 */
	public Flux<List<Contract>> watch() {
		return this.store.watch(KEY_PREFIX).map((rec) -> contracts(List.of(rec)));
	}

	static String key(String customer) {
		return KEY_PREFIX + String.format("%03x", Math.floorMod(HASH.hashChars(customer), (long) BUCKET_COUNT));
	}

	private Mono<Contract> attempt(ContractChange change, int number, boolean uncertain) {
		String key = key(change.contract().customer());
		return this.store.get(key)
			.map((rec) -> readBucket(rec))
			.defaultIfEmpty(new Versioned(KvStore.ABSENT, ContractBucket.EMPTY))
			.onErrorMap((ex) -> uncertain, (ex) -> outcomeUnknown(key, ex))
			.flatMap((v) -> compareAndSwap(change, key, v, number, uncertain));
	}

	private Mono<Contract> compareAndSwap(ContractChange change, String key, Versioned v, int number, boolean uncertain) {
		ContractBucket.Change done = v.bucket().findChange(change.changeId()).orElse(null);
		if (done != null) {
			return Mono.just(change.contract().withRevision(done.revision()));
		}
		long current = v.bucket()
			.find(change.contract().customer())
			.filter((c) -> !c.retired())
			.map(Contract::revision)
			.orElse(ContractChange.ABSENT);
		if (change.expectedRevision() != ContractChange.ANY_REVISION && change.expectedRevision() != current) {
			// An earlier try of this change whose answer was lost can no longer take
			// effect: the record has moved on from the version it expects, and the list
			// of changes would name it if it had.
			return Mono.error(new ContractConflictException(
					"the contract has revision " + current + ", the change expects " + change.expectedRevision(),
					change.contract().customer(), current));
		}
		ContractBucket next = v.bucket().withChange(change);
		return this.store.compareAndSwap(key, v.version(), ContractJson.writeBucket(next))
			.thenReturn(change.contract().withRevision(next.revision()))
			.onErrorResume(StoreException.class, (ex) -> retry(change, key, ex, number, uncertain));
	}

	private Mono<Contract> retry(ContractChange change, String key, StoreException ex, int number, boolean uncertain) {
		boolean conflict = ex instanceof StoreConflictException;
		boolean lost = uncertain || ex instanceof StoreUnknownException;
		if (!conflict && !(ex instanceof StoreUnknownException)) {
			return Mono.error(uncertain ? outcomeUnknown(key, ex) : ex);
		}
		if (number >= MAX_ATTEMPTS) {
			return Mono.error(lost ? outcomeUnknown(key, ex)
					: new StoreUnavailableException("too many others write this record; try again", key, ex));
		}
		// A lost answer must be settled before the operator is told anything. The next
		// try expects the version that it reads, so that of two tries that are still
		// under way one at most takes effect.
		Mono<Contract> again = Mono.defer(() -> attempt(change, number + 1, lost));
		return this.delay.apply(RETRY_DELAY_MS * number).then(again);
	}

	private static StoreUnknownException outcomeUnknown(String key, Throwable ex) {
		return new StoreUnknownException("the change may have been accepted; send the same change again", key, ex);
	}

	private static Versioned readBucket(StoreRecord rec) {
		try {
			return new Versioned(rec.version(), ContractJson.readBucket(rec));
		}
		catch (StoreUnavailableException ex) {
			throw Exceptions.propagate(ex);
		}
	}

	private static List<Contract> contracts(List<StoreRecord> records) {
		List<Contract> l = new ArrayList<>();
		records.forEach((rec) -> l.addAll(readBucket(rec).bucket().contracts()));
		return l;
	}

	private record Versioned(long version, ContractBucket bucket) {

	}

}
