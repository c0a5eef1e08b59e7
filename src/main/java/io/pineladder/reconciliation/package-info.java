/**
 * Reconciliation of the jobs in the store with those in the leader's memory: jobs accepted by other
 * controllers, and prerequisites that are not in memory. Event thread only.
 */
package io.pineladder.reconciliation;
