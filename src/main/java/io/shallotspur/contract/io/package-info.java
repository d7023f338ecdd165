/**
 * The TOML file format of contracts.
 */
@NullMarked
package io.shallotspur.contract.io;

import org.jspecify.annotations.NullMarked;
