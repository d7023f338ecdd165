package io.shallotspur.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A caller that notes what it is told.
 */
final class FakeCaller implements CallerAnswer {

	int answers;

	int status;

	@Nullable RelayRefusal refusal;

	String body = "";

	boolean ended;

	boolean brokenOff;

	@Override
	public void whole(int s, List<HeaderField> headers, byte[] b) {
		this.answers++;
		this.status = s;
		this.body = new String(b);
		this.ended = true;
	}

	@Override
	public void refuse(RelayRefusal r) {
		this.answers++;
		this.status = r.status();
		this.refusal = r;
		this.ended = true;
	}

	@Override
	public void begin(int s, List<HeaderField> headers) {
		this.answers++;
		this.status = s;
	}

	@Override
	public void write(byte[] bytes) {
		this.body += new String(bytes);
	}

	@Override
	public void end() {
		this.ended = true;
	}

	@Override
	public void breakOff() {
		this.brokenOff = true;
	}

}
