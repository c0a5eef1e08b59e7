/**
 * Membership of the controllers: gossip heartbeats between them, and failure detection by these.
 * Event thread only.
 */
package io.pineladder.membership;
