/**
 * Generations of the records: after a data loss of the consensus-backed key-value store a new
 * generation is written from a controller's replica, and the keys of earlier generations are
 * removed (docs/state-loss.md). Event thread only.
 */
package io.pineladder.generation;
