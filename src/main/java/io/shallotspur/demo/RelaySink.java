package io.shallotspur.demo;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Counts the tokens that callers get and how old they are. Thread-safe. Each token holds
 * one blank that no other part of its event holds in the same place, {@code :" }.
 */
final class RelaySink {

	private static final long MAX_US = 60_000_000;

	private static final byte[] MARK = "\":\" ".getBytes(StandardCharsets.US_ASCII);

	private final LongAdder tokens = new LongAdder();

	private final Histogram ages = new ConcurrentHistogram(MAX_US, 3);

	private volatile boolean counting;

	void setCounting(boolean counting) {
		this.counting = counting;
	}

	long tokens() {
		return this.tokens.sum();
	}

	double ageMs(double percentile) {
		return this.ages.getValueAtPercentile(percentile) / 1000.0;
	}

	void take(ByteBuf b) {
		if (!this.counting) {
			return;
		}
		int end = b.writerIndex();
		int n = 0;
		int i = b.indexOf(b.readerIndex(), end, (byte) ' ');
		while (i >= 0) {
			if (isToken(b, i)) {
				n++;
				age(b, i + 1, end);
			}
			i = b.indexOf(i + 1, end, (byte) ' ');
		}
		this.tokens.add(n);
	}

	private static boolean isToken(ByteBuf b, int blank) {
		int from = blank - MARK.length + 1;
		if (from < b.readerIndex()) {
			return false;
		}
		for (int k = 0; k < MARK.length; k++) {
			if (b.getByte(from + k) != MARK[k]) {
				return false;
			}
		}
		return true;
	}

	private void age(ByteBuf b, int from, int end) {
		int to = b.indexOf(from, end, (byte) '"');
		if (to > from) {
			String stamp = b.toString(from, to - from, StandardCharsets.US_ASCII);
			this.ages.recordValue(Math.min(MAX_US, RelaySource.ageMicros(stamp)));
		}
	}

}
