package io.pineladder.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** State changes of zones by the heartbeats of their machines. */
class ZonesTest {
  private final Zones zones = new Zones();
  private Instant now = Instant.EPOCH;

  /**
   * Reviews both zones once a second; of zone a's hundred machines {@code recentlyHeard} are heard
   * here and {@code heardByPeers} by other controllers.
   */
  private void review(int seconds, int recentlyHeard, int heardByPeers) {
    for (int i = 0; i < seconds; i++) {
      zones.review(
          "a", new HeartbeatCounts(100, 100 - recentlyHeard, recentlyHeard, heardByPeers), now);
      zones.review("b", new HeartbeatCounts(100, 0, 100, 0), now);
      now = now.plusSeconds(1);
    }
  }

  private String state() {
    return zones.view(now).get(0).state();
  }

  @Test
  void machinesAreNotRentedInAnUnreachableZone() {
    review(5, 100, 0);
    assertEquals("UP", state());
    review(1, 85, 0);
    assertEquals("DOUBTED", state());
    assertEquals(List.of("b", "a"), zones.rentableZones(List.of("a", "b")));
    review(10, 3, 0);
    assertEquals("CUT", state());
    assertEquals(List.of("b"), zones.rentableZones(List.of("a", "b")));
    // With no other candidate the zone is not left out.
    assertEquals(List.of("a"), zones.rentableZones(List.of("a")));
    review(5, 3, 60);
    assertTrue(zones.isKeptAliveByPeers("a"));
    review(5, 3, 0);
    assertFalse(zones.isKeptAliveByPeers("a"));
    review(1, 40, 0);
    assertEquals("RETURNING", state());
    review(1, 95, 0);
    assertEquals("PROBATION", state());
    assertEquals(List.of("b", "a"), zones.rentableZones(List.of("a", "b")));
    review(32, 100, 0);
    assertEquals("UP", state());
  }

  @Test
  void probationDoublesWithEachLoss() {
    for (int loss = 1; loss <= 4; loss++) {
      review(20, 0, 0);
      assertEquals("CUT", state());
      review(2, 100, 0);
      assertEquals("PROBATION", state());
      review(30 * (1 << (loss - 1)) - 2, 100, 0);
      assertEquals("PROBATION", state(), "loss " + loss);
      review(4, 100, 0);
      assertEquals("UP", state(), "loss " + loss);
    }
  }

  @Test
  void expectedOutageFollowsEarlierOutages() {
    review(1, 0, 0);
    assertEquals(Duration.ofSeconds(1), zones.expectedRemainingOutage("a", now));
    review(59, 0, 0);
    assertEquals(Duration.ofSeconds(60), zones.expectedRemainingOutage("a", now));
    review(40, 100, 0);
    review(10, 0, 0);
    assertEquals(Duration.ofSeconds(50), zones.expectedRemainingOutage("a", now));
    // Longer than the average of before: half of what has passed.
    review(90, 0, 0);
    assertEquals(Duration.ofSeconds(50), zones.expectedRemainingOutage("a", now));
    assertEquals(Duration.ZERO, zones.expectedRemainingOutage("b", now));
  }
}
