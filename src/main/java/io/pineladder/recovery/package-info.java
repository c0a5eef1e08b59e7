/**
 * One controller's part in the recovery of the records after a data loss: its replica, snapshots
 * and generations together. Event thread only.
 */
package io.pineladder.recovery;
