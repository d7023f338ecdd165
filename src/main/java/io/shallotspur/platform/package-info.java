/**
 * Adapter that runs the gateway on the users' platform. It translates the platform's
 * store entries, settings, headers and worker protocol into the gateway's types and back.
 * It makes no routing decisions and keeps no state beyond its connections; the platform's
 * names are used only in this package.
 */
@NullMarked
package io.shallotspur.platform;

import org.jspecify.annotations.NullMarked;
