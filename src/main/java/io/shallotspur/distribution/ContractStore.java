package io.shallotspur.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongFunction;
import java.util.stream.Collectors;

import net.openhft.hashing.LongHashFunction;
import org.tinylog.Logger;
import reactor.core.Exceptions;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.contract.Contract;
import io.shallotspur.contract.ContractValidator;
import io.shallotspur.exc.ContractConflictException;
import io.shallotspur.exc.StoreConflictException;
import io.shallotspur.exc.StoreException;
import io.shallotspur.exc.StoreUnavailableException;
import io.shallotspur.exc.StoreUnknownException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreRecord;
import io.shallotspur.util.toml.Problems;

/**
 * Reads and changes the contracts in the key-value store. Thread-safe.
 * <p>
 * Invariants: a change is accepted only if its compare-and-swap took effect, and takes
 * effect at most once; the revision of a customer's contract only increases; a record or
 * contract that cannot be read does not affect the others.
 */
public final class ContractStore {

	/**
	 * The key prefix of all contract records. It is followed by the number of the
	 * customer's bucket as three hexadecimal digits.
	 */
	public static final String KEY_PREFIX = "contracts/";

	private static final int BUCKET_COUNT = 4096;

	private static final int MAX_ATTEMPTS = 8;

	private static final long RETRY_DELAY_MS = 50;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private final KvStore store;

	private final LongFunction<Mono<?>> delay;

	private final Set<String> unreadableKeys = ConcurrentHashMap.newKeySet();

	/**
	 * Creates an instance that accesses the given store.
	 * @param store the store
	 * @param delay returns a publisher that completes after the given number of
	 * milliseconds; used between attempts
	 */
	public ContractStore(KvStore store, LongFunction<Mono<?>> delay) {
		this.store = store;
		this.delay = delay;
	}

	/**
	 * Applies a change. Fails with {@link ContractConflictException} if the contract does
	 * not have the expected revision, {@link StoreUnavailableException} if the change
	 * certainly did not take effect, or {@link StoreUnknownException} if it may have
	 * taken effect. In the last case, sending the same change again determines the
	 * outcome.
	 * @param change the validated change
	 * @return the contract with the revision that the change created
	 */
	public Mono<Contract> apply(ContractChange change) {
		return attempt(change, 1, false);
	}

	/**
	 * Lists contracts.
	 * @param bucketPrefix the leading hexadecimal digits of the buckets to list, or empty
	 * for all
	 * @return the contracts, including tombstones, of all records that can be read
	 */
	public Mono<List<Contract>> list(String bucketPrefix) {
		String prefix = KEY_PREFIX + bucketPrefix;
		return this.store.list(prefix).map((records) -> {
			List<Contract> contracts = contracts(records);
			Set<String> keys = records.stream().map(StoreRecord::key).collect(Collectors.toSet());
			this.unreadableKeys.removeIf((k) -> k.startsWith(prefix) && !keys.contains(k));
			return contracts;
		});
	}

	/**
	 * Returns whether a record, when it was read last, contained something that could not
	 * be read.
	 * @return {@code true} if so; the contracts that were read are not all contracts then
	 */
	public boolean hasUnreadableRecords() {
		return !this.unreadableKeys.isEmpty();
	}

	/**
	 * Watches for changes.
	 * @return all contracts of each bucket that changes and can be read; ends with an
	 * error if the connection to the store is lost
	 */
	public Flux<List<Contract>> watch() {
		return this.store.watch(KEY_PREFIX).map((rec) -> contracts(List.of(rec)));
	}

	static String key(String customer) {
		return KEY_PREFIX + String.format("%03x", Math.floorMod(HASH.hashChars(customer), (long) BUCKET_COUNT));
	}

	private Mono<Contract> attempt(ContractChange change, int attemptNumber, boolean mayHaveTakenEffect) {
		String key = key(change.contract().customer());
		return this.store.get(key)
			.map((rec) -> readBucket(rec))
			.defaultIfEmpty(new VersionedBucket(KvStore.ABSENT, ContractBucket.EMPTY))
			.onErrorMap((ex) -> mayHaveTakenEffect, (ex) -> outcomeUnknown(key, ex))
			.flatMap((current) -> compareAndSwap(change, key, current, attemptNumber, mayHaveTakenEffect));
	}

	private Mono<Contract> compareAndSwap(ContractChange change, String key, VersionedBucket current, int attemptNumber,
			boolean mayHaveTakenEffect) {
		ContractBucket.Change applied = current.bucket().findChange(change.changeId()).orElse(null);
		if (applied != null) {
			return Mono.just(change.contract().withRevision(applied.revision()));
		}
		long currentRevision = current.bucket()
			.find(change.contract().customer())
			.filter((c) -> !c.retired())
			.map(Contract::revision)
			.orElse(ContractChange.ABSENT);
		if (change.expectedRevision() != ContractChange.ANY_REVISION && change.expectedRevision() != currentRevision) {
			// An earlier attempt whose response was lost can no longer take effect: the
			// record has a newer version than that attempt expects. If it had taken
			// effect, the recorded changes would contain it.
			return Mono.error(new ContractConflictException("the contract has revision " + currentRevision
					+ ", but the change expects revision " + change.expectedRevision(), change.contract().customer(),
					currentRevision));
		}
		ContractBucket next = current.bucket().withChange(change);
		return this.store.compareAndSwap(key, current.version(), ContractJson.writeBucket(next))
			.thenReturn(change.contract().withRevision(next.revision()))
			.onErrorResume(StoreException.class, (ex) -> retry(change, key, ex, attemptNumber, mayHaveTakenEffect));
	}

	private Mono<Contract> retry(ContractChange change, String key, StoreException ex, int attemptNumber,
			boolean mayHaveTakenEffect) {
		boolean conflict = ex instanceof StoreConflictException;
		boolean outcomeUnknown = mayHaveTakenEffect || ex instanceof StoreUnknownException;
		if (!conflict && !(ex instanceof StoreUnknownException)) {
			return Mono.error(mayHaveTakenEffect ? outcomeUnknown(key, ex) : ex);
		}
		if (attemptNumber >= MAX_ATTEMPTS) {
			return Mono.error(outcomeUnknown ? outcomeUnknown(key, ex)
					: new StoreUnavailableException("too many concurrent writes to this record; try again", key, ex));
		}
		// The outcome of a lost response must be determined before the operator gets a
		// response. The next attempt expects the version that it reads, so that at most
		// one of two pending attempts takes effect.
		Mono<Contract> nextAttempt = Mono.defer(() -> attempt(change, attemptNumber + 1, outcomeUnknown));
		return this.delay.apply(RETRY_DELAY_MS * attemptNumber).then(nextAttempt);
	}

	private static StoreUnknownException outcomeUnknown(String key, Throwable ex) {
		return new StoreUnknownException(
				"the change may have taken effect; send the same change again to determine the outcome", key, ex);
	}

	private static VersionedBucket readBucket(StoreRecord rec) {
		try {
			return new VersionedBucket(rec.version(), ContractJson.readBucket(rec));
		}
		catch (StoreUnavailableException ex) {
			throw Exceptions.propagate(ex);
		}
	}

	private List<Contract> contracts(List<StoreRecord> records) {
		List<Contract> contracts = new ArrayList<>();
		records.forEach((rec) -> addValid(rec, contracts));
		return contracts;
	}

	// The last known contracts of customers that are left out stay in force.
	private void addValid(StoreRecord rec, List<Contract> contracts) {
		boolean readable = true;
		try {
			for (Contract c : ContractJson.readBucket(rec).contracts()) {
				Problems p = new Problems("contract");
				ContractValidator.validate(List.of(c), p);
				readable &= p.isEmpty();
				if (p.isEmpty()) {
					contracts.add(c);
				}
				else {
					Logger.warn("[contract] Left out a contract of {}: {}.", rec.key(),
							ContractJson.firstLine(p.toString()));
				}
			}
		}
		catch (StoreUnavailableException ex) {
			readable = false;
			Logger.warn("[contract] Left out the record {}: {}.", rec.key(), ex.getMessage());
		}
		if (readable) {
			this.unreadableKeys.remove(rec.key());
		}
		else {
			this.unreadableKeys.add(rec.key());
		}
	}

	private record VersionedBucket(long version, ContractBucket bucket) {

	}

}
