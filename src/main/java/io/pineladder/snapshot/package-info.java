/**
 * Snapshots of a controller's replica, with the changes that follow each, and the files that hold
 * them. Event thread only; encoding and files are handled in the background.
 */
package io.pineladder.snapshot;
