package io.pineladder.generation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.membership.Membership;
import io.pineladder.replica.RecordReplica;
import io.pineladder.snapshot.Snapshot;
import io.pineladder.snapshot.SnapshotManager;
import io.pineladder.wire.GossipWire;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which controller claims a generation after a data loss, given the gossiped replicas. */
class RebuildDeferralTest {
  private static final long OWN_BASE = 5;
  private static final long OWN_REVISION = 100;

  private static RecordReplica replica(boolean complete) {
    if (complete) {
      Snapshot snapshot =
          new Snapshot("c", OWN_BASE, OWN_REVISION, Instant.EPOCH, Map.of(), Map.of());
      return RecordReplica.fromSnapshot(new SnapshotManager.LoadedSnapshot(snapshot, List.of()));
    }
    RecordReplica replica = new RecordReplica(OWN_BASE);
    JsonNode page = Json.object().set("entries", Json.array());
    replica.put("placed/0", page, OWN_REVISION);
    return replica;
  }

  private static Membership.PeerStatus peer(
      Membership.State state, long base, long revision, boolean complete) {
    return new Membership.PeerStatus(
        "peer",
        state,
        Duration.ZERO,
        true,
        0,
        0,
        "nonce",
        new GossipWire.RecordStatus(base, revision, base, revision, complete, 0, false),
        1);
  }

  @ParameterizedTest(name = "own complete {0}, peer {1} {2}/{3} complete {4}, {6} s after loss")
  @CsvSource({
    // Equal replicas: no controller defers once the peers have started.
    "true,  UP,   5, 100, true,  60,  4, false",
    // A controller defers to a newer complete replica, up to the maximum.
    "true,  UP,   5, 101, true,  60,  4, true",
    "true,  UP,   5, 101, true,  60, 12, true",
    "true,  UP,   5, 101, true,  60, 13, false",
    "true,  UP,   6,   1, true,  60,  4, true",
    "true,  UP,   4, 999, true,  60,  4, false",
    // A complete replica is preferred over a newer incomplete one.
    "true,  UP,   6, 999, false, 60,  4, false",
    "false, UP,   4,   1, true,  60, 12, true",
    "false, UP,   4,   1, true,  60, 13, false",
    // Incomplete replicas are compared too.
    "false, UP,   5, 101, false, 60,  4, true",
    "false, UP,   5, 100, false, 60,  4, false",
    // A peer that is down is waited for only during startup or with an incomplete own replica.
    "true,  DOWN, 5, 101, true,  60,  4, false",
    "true,  DOWN, 5, 101, true,  19,  4, true",
    "true,  DOWN, 5, 101, true,  20,  4, false",
    "false, DOWN, 5, 100, false, 60, 11, true",
    "false, DOWN, 5, 100, false, 60, 12, false",
  })
  void defersToBetterReplicaForBoundedTime(
      boolean ownComplete,
      Membership.State peerState,
      long peerBase,
      long peerRevision,
      boolean peerComplete,
      long uptimeSeconds,
      long lossSeconds,
      boolean expected) {
    assertEquals(
        expected,
        RebuildDeferral.mustDefer(
            replica(ownComplete),
            List.of(peer(peerState, peerBase, peerRevision, peerComplete)),
            Duration.ofSeconds(uptimeSeconds),
            Duration.ofSeconds(lossSeconds)));
  }
}
