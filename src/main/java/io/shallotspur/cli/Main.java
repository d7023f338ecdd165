package io.shallotspur.cli;

/**
 * Entry point of the program.
 */
public final class Main {

	private Main() {
	}

	/**
	 * Runs one command.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		String v = Main.class.getPackage().getImplementationVersion();
		System.out.println("shallotspur " + ((v != null) ? v : "development"));
	}

}
