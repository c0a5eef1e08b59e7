/**
 * Completion of rolling upgrades: the leader raises the cluster version ({@link
 * io.pineladder.model.ClusterVersion}) once all controllers support the new one.
 */
package io.pineladder.upgrade;
