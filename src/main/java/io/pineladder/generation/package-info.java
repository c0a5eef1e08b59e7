/**
 * Generations of the records: data loss of the consensus-backed key-value store is detected, a new
 * generation is written from a controller's replica, and keys of earlier generations are removed
 * (docs/state-loss.md). Event thread only.
 */
package io.pineladder.generation;
