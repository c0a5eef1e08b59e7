package io.pineladder.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

class ZonesTest {
  private final Zones zones = new Zones();
  private Instant now = Instant.EPOCH;

  /** Reviews both zones for so many seconds; of a's hundred machines so many are heard. */
  private void heard(int seconds, int lately, int inside) {
    for (int i = 0; i < seconds; i++) {
      zones.review("a", 100, 100 - lately, lately, inside, now);
      zones.review("b", 100, 0, 100, 0, now);
      now = now.plusSeconds(1);
    }
  }

  private String state() {
    return zones.view(now).get(0).state();
  }

  @Test
  void aZoneThatIsNotHeardGetsNoMachines() {
    heard(5, 100, 0);
    assertEquals("UP", state());
    heard(1, 85, 0);
    assertEquals("DOUBTED", state());
    assertEquals(List.of("b", "a"), zones.rentableZones(List.of("a", "b")));
    heard(10, 3, 0);
    assertEquals("CUT", state());
    assertEquals(List.of("b"), zones.rentableZones(List.of("a", "b")));
    // With no other left it is as good as any.
    assertEquals(List.of("a"), zones.rentableZones(List.of("a")));
    heard(5, 3, 60);
    assertTrue(zones.isKeptAliveByPeers("a"));
    heard(5, 3, 0);
    assertFalse(zones.isKeptAliveByPeers("a"));
    heard(1, 40, 0);
    assertEquals("RETURNING", state());
    heard(1, 95, 0);
    assertEquals("PROBATION", state());
    assertEquals(List.of("b", "a"), zones.rentableZones(List.of("a", "b")));
    heard(32, 100, 0);
    assertEquals("UP", state());
  }

  @Test
  void aZoneThatComesAndGoesIsTrustedLater() {
    for (int loss = 1; loss <= 4; loss++) {
      heard(20, 0, 0);
      assertEquals("CUT", state());
      heard(2, 100, 0);
      assertEquals("PROBATION", state());
      heard(30 * (1 << loss - 1) - 2, 100, 0);
      assertEquals("PROBATION", state(), "loss " + loss);
      heard(4, 100, 0);
      assertEquals("UP", state(), "loss " + loss);
    }
  }

  @Test
  void aZoneIsExpectedBackAsItCameBackBefore() {
    heard(1, 0, 0);
    assertEquals(Duration.ofSeconds(1), zones.expectedRemainingOutage("a", now));
    heard(59, 0, 0);
    assertEquals(Duration.ofSeconds(60), zones.expectedRemainingOutage("a", now));
    heard(40, 100, 0);
    heard(10, 0, 0);
    assertEquals(Duration.ofSeconds(50), zones.expectedRemainingOutage("a", now));
    // Longer than before: half of what it has been is as good a guess as any.
    heard(90, 0, 0);
    assertEquals(Duration.ofSeconds(50), zones.expectedRemainingOutage("a", now));
    assertEquals(Duration.ZERO, zones.expectedRemainingOutage("b", now));
  }
}
