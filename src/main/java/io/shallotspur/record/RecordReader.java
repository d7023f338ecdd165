package io.shallotspur.record;

import java.util.ArrayList;
import java.util.List;

import org.tinylog.Logger;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

import io.shallotspur.exc.InputException;
import io.shallotspur.port.KvStore;
import io.shallotspur.port.StoreRecord;

/**
 * Merges the records of all nodes. Thread-safe.
 */
public final class RecordReader {

	private static final long HOUR_MS = 3_600_000;

	private final KvStore store;

	/**
	 * Creates a reader.
	 * @param store the key-value service
	 */
	public RecordReader(KvStore store) {
		this.store = store;
	}

	/**
	 * Reads the record of a customer. One call to the store is made for each hour. Fails
	 * with {@link io.shallotspur.exc.StoreException}.
	 * @param customer the customer
	 * @param from the first instant, in milliseconds since the epoch
	 * @param to the first instant that is no longer wanted, in milliseconds since the
	 * epoch
	 * @return the record in whole minutes
	 */
	public Mono<CustomerRecord> read(String customer, long from, long to) {
		long fromMinute = Math.floorDiv(from, Recorder.MINUTE_MS);
		long toMinute = -Math.floorDiv(-to, Recorder.MINUTE_MS);
		return Flux.fromIterable(hours(from, to))
			.concatMap((h) -> this.store.list(RecordPart.hourPrefix(h)))
			.collect(() -> new CustomerRecord(customer), (r, l) -> l.forEach((s) -> add(r, s, fromMinute, toMinute)));
	}

	private static void add(CustomerRecord record, StoreRecord stored, long fromMinute, long toMinute) {
		try {
			record.add(RecordCodec.decode(stored.value(), stored.key()), fromMinute, toMinute);
		}
		catch (InputException ex) {
			Logger.warn("[record] {}: {}.", stored.key(), ex.getMessage());
			record.addUnreadable();
		}
	}

	private static List<Long> hours(long from, long to) {
		List<Long> hours = new ArrayList<>();
		for (long h = RecordPart.hourStart(from); h < to; h += HOUR_MS) {
			hours.add(h);
		}
		return hours;
	}

}
