/**
 * Scheduling of the jobs of one leader term: scheduling cycles, placement checks and bin packing,
 * preemption, gang reservations, job dependencies, the attempt life cycle, and fault attribution.
 * {@link io.pineladder.scheduling.Scheduler} is the entry point, and {@link
 * io.pineladder.scheduling.ClusterState} holds the state that it works on. Everything runs on the
 * event loop's thread.
 */
package io.pineladder.scheduling;
