/**
 * Snapshots of a controller's replica, the changes after each, and the files that store them. Event
 * thread only; encoding and file operations run in the background.
 */
package io.pineladder.snapshot;
