/**
 * Small stand-ins for the platform's services. They speak the project's own HTTP/JSON.
 */
@NullMarked
package io.shallotspur.standin.store;

import org.jspecify.annotations.NullMarked;
