package io.pineladder.zones;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leader's view of all zones, from which it decides where to rent machines and which silent
 * machines may still be alive. All methods run on the event loop.
 */
public final class Zones {
  private final Map<String, Zone> zones = new TreeMap<>();

  /**
   * A zone as shown by the administration API.
   *
   * @param state the name of its state
   * @param outageCount how often the zone has become unreachable in this term
   * @param outageDuration the duration of the current outage; zero if the zone is reachable
   */
  public record View(String name, String state, int outageCount, Duration outageDuration) {}

  /** Updates a zone from its heartbeat counts; called once a second. */
  public void review(String name, HeartbeatCounts counts, Instant now) {
    zones.computeIfAbsent(name, n -> new Zone(n, now)).review(counts, now);
  }

  /** Whether any zone is unreachable. */
  public boolean isAnyUnreachable() {
    return zones.values().stream().anyMatch(Zone::isUnreachable);
  }

  /** Whether heartbeats arrive from hardly any machine of the zone. */
  public boolean isUnreachable(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.isUnreachable();
  }

  /** Whether other controllers keep the leases of an unreachable zone's workers alive. */
  public boolean isKeptAliveByPeers(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.state() == Zone.State.APART;
  }

  /** Estimates how much longer the zone stays unreachable; zero if it is reachable. */
  public Duration expectedRemainingOutage(String name, Instant now) {
    Zone zone = zones.get(name);
    return zone == null || !zone.isUnreachable()
        ? Duration.ZERO
        : zone.expectedRemainingOutage(now);
  }

  /**
   * The candidates in which machines may be rented, UP zones first. Unreachable zones, and doubted
   * zones where no machine was seen recently, are excluded unless that leaves no candidate.
   */
  public List<String> rentableZones(List<String> candidates) {
    List<String> up = new ArrayList<>();
    List<String> doubtful = new ArrayList<>();
    for (String name : candidates) {
      Zone zone = zones.get(name);
      Zone.State state = zone == null ? Zone.State.UP : zone.state();
      switch (state) {
        case UP -> up.add(name);
        case PROBATION, RETURNING -> doubtful.add(name);
        case DOUBTED -> {
          if (zone.isAnySeen()) {
            doubtful.add(name);
          }
        }
        default -> {
          // CUT, APART: the zone is unreachable.
        }
      }
    }
    up.addAll(doubtful);
    return up.isEmpty() ? candidates : up;
  }

  /** All zones, sorted by name. */
  public List<View> view(Instant now) {
    List<View> views = new ArrayList<>();
    zones.forEach(
        (name, zone) ->
            views.add(
                new View(name, zone.state().name(), zone.outageCount(), zone.outageDuration(now))));
    return views;
  }
}
