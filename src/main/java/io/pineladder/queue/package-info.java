/**
 * The scheduling queue: the active heap by priority, the back-off heaps by expiry, and the
 * unschedulable entries, which cluster events activate by the hints of the checks that rejected
 * them.
 */
package io.pineladder.queue;
