package io.shallotspur.platform.soak;

/**
 * What the address of a worker does after a request has crashed it.
 */
enum CrashStyle {

	/** It refuses connections until the worker is back. */
	REFUSES,

	/** A supervisor starts the worker again at once; connections are accepted. */
	RESTARTS_AT_ONCE,

	/** It does not respond to connections until the worker is back. */
	FALLS_SILENT

}
