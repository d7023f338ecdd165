package io.shallotspur.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A caller that notes what it is told.
 */
final class FakeCaller implements CallerResponse {

	int responseCount;

	int status;

	@Nullable RelayRefusal refusal;

	String body = "";

	boolean completed;

	boolean aborted;

	@Override
	public void send(int s, List<HeaderField> headers, byte[] b) {
		this.responseCount++;
		this.status = s;
		this.body = new String(b);
		this.completed = true;
	}

	@Override
	public void refuse(RelayRefusal r) {
		this.responseCount++;
		this.status = r.status();
		this.refusal = r;
		this.completed = true;
	}

	@Override
	public void start(int s, List<HeaderField> headers) {
		this.responseCount++;
		this.status = s;
	}

	@Override
	public void write(byte[] bytes) {
		this.body += new String(bytes);
	}

	@Override
	public void complete() {
		this.completed = true;
	}

	@Override
	public void abort() {
		this.aborted = true;
	}

}
