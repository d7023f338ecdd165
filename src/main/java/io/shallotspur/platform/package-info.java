/**
 * Runs the gateway on the users' platform. This package only translates: it decodes the
 * platform's store, settings, headers and worker protocol into the product's types, and
 * back. It decides nothing, keeps no state beyond connections, and nothing outside it
 * knows the platform's names.
 */
@NullMarked
package io.shallotspur.platform;

import org.jspecify.annotations.NullMarked;
