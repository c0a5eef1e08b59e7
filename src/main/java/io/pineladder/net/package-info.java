/**
 * The event loop, HTTP servers and clients, and the limits on the sockets of the process. Apart
 * from background work everything runs on the event thread, and nothing blocks it.
 */
package io.pineladder.net;
