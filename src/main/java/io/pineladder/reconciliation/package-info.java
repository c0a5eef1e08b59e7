/**
 * Reconciliation of the jobs in the store with those in the leader's memory: jobs that other
 * controllers accepted, and dependencies that are not in memory. Event thread only.
 */
package io.pineladder.reconciliation;
