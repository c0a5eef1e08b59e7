/**
 * Versions of the records and messages of a cluster, and how a rolling upgrade moves between them.
 */
package io.pineladder.upgrade;
