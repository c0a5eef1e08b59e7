/**
 * Recovery of the records after a data loss: coordinates the replica, snapshots and generations of
 * one controller. Event thread only.
 */
package io.pineladder.recovery;
