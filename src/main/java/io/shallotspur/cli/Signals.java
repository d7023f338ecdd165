package io.shallotspur.cli;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

import org.tinylog.Logger;

/**
 * Takes the termination signals of the operating system. Stateless.
 * <p>
 * A shutdown hook cannot tell a first signal from a second one: the virtual machine
 * ignores signals while hooks run, so an operator could not cut a long drain short. The
 * JDK's own signal class can; it is reached by reflection because the compiler warns of
 * any direct use and warnings are errors here.
 */
public final class Signals {

	private static final String SIGNAL = "sun.misc.Signal";

	private static final String HANDLER = "sun.misc.SignalHandler";

	private Signals() {
	}

	/**
	 * Calls back on each SIGTERM and SIGINT instead of ending the process.
	 * @param callback called on a thread of the virtual machine
	 * @return {@code false} if this virtual machine offers no such signals
	 */
	public static boolean onTerminate(Runnable callback) {
		return on("TERM", callback) && on("INT", callback);
	}

	/**
	 * Calls back on each signal of one kind.
	 * @param name the signal's name without SIG
	 * @param callback called on a thread of the virtual machine
	 * @return {@code false} if this virtual machine offers no such signal
	 */
	public static boolean on(String name, Runnable callback) {
		try {
			Class<?> signal = Class.forName(SIGNAL);
			Class<?> handler = Class.forName(HANDLER);
			InvocationHandler h = (proxy, method, args) -> {
				if (method.getName().equals("handle")) {
					callback.run();
				}
				return method.getName().equals("hashCode") ? (Object) System.identityHashCode(proxy) : null;
			};
			Object p = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] { handler }, h);
			Object s = signal.getConstructor(String.class).newInstance(name);
			signal.getMethod("handle", signal, handler).invoke(null, s, p);
			return true;
		}
		catch (ReflectiveOperationException | IllegalArgumentException ex) {
			Logger.warn("[run] The signal {} cannot be taken: {}", name, ex.toString());
			return false;
		}
	}

}
