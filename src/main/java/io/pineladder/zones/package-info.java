/**
 * The leader's view of the zones, derived from the heartbeats that it receives, and the records in
 * the key-value store that list how many worker leases the other controllers keep alive. All code
 * runs on the event loop.
 */
package io.pineladder.zones;
