/**
 * A controller's copy of the records of one generation: the replica, the follower that keeps it up
 * to date, and the conversion into the entries of a new generation. Event thread only.
 */
package io.pineladder.replica;
