/**
 * Client of the consensus-backed key-value store, group commit of the leader's changes in fenced
 * compare-and-swap transactions, and the durable records, which are packed into pages. Event thread
 * only.
 */
package io.pineladder.store;
