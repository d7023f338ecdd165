package io.shallotspur.record;

final class RecordTestData {

	private RecordTestData() {
	}

	static RequestEnd end(String customer, Verdict verdict, long ttft) {
		return new RequestEnd(customer, "c", verdict, ttft, new long[] { 30_000, 31_000 }, 10, 1);
	}

}
