/**
 * The records of one generation as one controller has seen them stored: the replica itself, how a
 * controller that does not lead keeps it up to date, and how it is divided into values of the
 * store's size. Event thread only.
 */
package io.pineladder.replica;
