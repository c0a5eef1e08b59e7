/**
 * The scheduling queue: an active heap ordered by priority, back-off heaps ordered by expiry, and
 * the unschedulable entries. Cluster events activate entries according to the hint functions
 * registered for the checks that rejected them.
 */
package io.pineladder.queue;
