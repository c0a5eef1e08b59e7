/**
 * Scheduling of the jobs of one leader term: scheduling cycles, placement checks and bin packing,
 * preemption, gang reservations, dependencies, the life cycle of attempts, and fault attribution.
 * {@link io.pineladder.scheduling.Scheduler} is the entry point, {@link
 * io.pineladder.scheduling.ClusterState} what it works on. Everything runs on the event loop's
 * thread.
 */
package io.pineladder.scheduling;
