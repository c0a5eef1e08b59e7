/**
 * Failover to a new leader: loads the records of earlier leaders, restores the cluster state from
 * them, and measures each phase. Event thread only.
 */
package io.pineladder.failover;
