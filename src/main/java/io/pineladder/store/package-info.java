/**
 * The consensus-backed key-value store: its client, the group commit of a leader's changes by
 * fenced compare-and-swap transactions, and the durable records packed into pages. Event thread
 * only.
 */
package io.pineladder.store;
