/**
 * How a rolling upgrade ends: the leader raises the cluster version ({@link
 * io.pineladder.model.ClusterVersion}) once all controllers support the next one.
 */
package io.pineladder.upgrade;
