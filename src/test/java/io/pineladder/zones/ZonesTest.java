package io.pineladder.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the state changes of zones and the estimates derived from them. */
class ZonesTest {
  private final Zones zones = new Zones();
  private Instant now = Instant.EPOCH;

  /**
   * Reviews both zones once a second for the given time.
   *
   * @param recentlySeen machines of zone a, out of 100, with recent heartbeats
   * @param seenByPeers machines of zone a whose heartbeats other controllers receive
   */
  private void review(int seconds, int recentlySeen, int seenByPeers) {
    for (int i = 0; i < seconds; i++) {
      zones.review(
          "a", new HeartbeatCounts(100, 100 - recentlySeen, recentlySeen, seenByPeers), now);
      zones.review("b", new HeartbeatCounts(100, 0, 100, 0), now);
      now = now.plusSeconds(1);
    }
  }

  private String state() {
    return zones.view(now).get(0).state();
  }

  @Test
  void rentsNoMachinesInUnreachableZone() {
    review(5, 100, 0);
    assertEquals("UP", state());
    review(1, 85, 0);
    assertEquals("DOUBTED", state());
    assertEquals(List.of("b", "a"), zones.rentableZones(List.of("a", "b")));
    review(10, 3, 0);
    assertEquals("CUT", state());
    assertEquals(List.of("b"), zones.rentableZones(List.of("a", "b")));
    // An unreachable zone is used if there is no other candidate.
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
  void probationDoublesWithEachOutage() {
    for (int outage = 1; outage <= 4; outage++) {
      review(20, 0, 0);
      assertEquals("CUT", state());
      review(2, 100, 0);
      assertEquals("PROBATION", state());
      review(30 * (1 << (outage - 1)) - 2, 100, 0);
      assertEquals("PROBATION", state(), "outage " + outage);
      review(4, 100, 0);
      assertEquals("UP", state(), "outage " + outage);
    }
  }

  @Test
  void estimatesOutageFromEarlierOutages() {
    review(1, 0, 0);
    assertEquals(Duration.ofSeconds(1), zones.expectedRemainingOutage("a", now));
    review(59, 0, 0);
    assertEquals(Duration.ofSeconds(60), zones.expectedRemainingOutage("a", now));
    review(40, 100, 0);
    review(10, 0, 0);
    assertEquals(Duration.ofSeconds(50), zones.expectedRemainingOutage("a", now));
    // Longer than the average outage: half of the time passed so far.
    review(90, 0, 0);
    assertEquals(Duration.ofSeconds(50), zones.expectedRemainingOutage("a", now));
    assertEquals(Duration.ZERO, zones.expectedRemainingOutage("b", now));
  }
}
