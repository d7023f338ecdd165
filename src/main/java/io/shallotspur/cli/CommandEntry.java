package io.shallotspur.cli;

import java.util.function.Supplier;

/**
 * A command as the help lists it. Immutable.
 *
 * @param name what the user types
 * @param summary one line of help
 * @param factory makes the bean that args4j fills
 */
record CommandEntry(String name, String summary, Supplier<Command> factory) {

}
