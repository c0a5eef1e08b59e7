/**
 * The event loop, HTTP servers and clients, and the limits on open sockets. All code except
 * background tasks runs on the event thread and must not block it.
 */
package io.pineladder.net;
