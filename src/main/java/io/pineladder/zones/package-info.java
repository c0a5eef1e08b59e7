/**
 * The zones as a leader sees them, by the heartbeats that arrive, and the notes by which other
 * controllers tell it of workers whose leases they keep alive. Event thread only.
 */
package io.pineladder.zones;
