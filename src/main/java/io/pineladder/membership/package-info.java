/**
 * Membership of the controllers: gossip heartbeats between them and the failure detection based on
 * these. Event thread only.
 */
package io.pineladder.membership;
