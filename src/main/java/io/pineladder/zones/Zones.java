package io.pineladder.zones;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The zones as one leader sees them: where machines may be rented, and what of them is waited for.
 */
public final class Zones {
  private final Map<String, Zone> zones = new TreeMap<>();

  /** Zones that were heard in this review, with the share of their machines that was. */
  private final Map<String, Boolean> recentlyHeard = new TreeMap<>();

  /** One zone, for those who look from outside. */
  public record View(String name, String state, int losses, Duration outageDuration) {}

  /**
   * Looks at a zone once a second.
   *
   * @param up machines that should report
   * @param overdue those of them that are late
   * @param lately those heard since the first of them was missed
   * @param inside those that another controller hears, as it has told lately
   * @return whether hardly any of them is heard
   */
  public boolean review(
      String name,
      int expected,
      int overdue,
      int recentlyHeardCount,
      int heardByPeers,
      Instant now) {
    Zone zone = zones.computeIfAbsent(name, n -> new Zone(n, now));
    Zone.HeartbeatCounts counts =
        new Zone.HeartbeatCounts(expected, overdue, recentlyHeardCount, heardByPeers);
    zone.review(counts, now);
    recentlyHeard.put(name, recentlyHeardCount > 0 || expected == 0);
    return counts.isUnreachable();
  }

  /** Whether this node hears nothing of some zone. */
  public boolean isAnyUnreachable() {
    return zones.values().stream().anyMatch(Zone::isUnreachable);
  }

  /** Whether this node hears nothing of the zone. */
  public boolean isUnreachable(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.isUnreachable();
  }

  /** Whether another controller hears the zone and keeps its workers' leases. */
  public boolean isKeptAliveByPeers(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.state() == Zone.State.APART;
  }

  /** How much longer a zone that is gone is likely to stay away; zero for others. */
  public Duration expectedRemainingOutage(String name, Instant now) {
    Zone zone = zones.get(name);
    return zone == null || !zone.isUnreachable()
        ? Duration.ZERO
        : zone.expectedRemainingOutage(now);
  }

  /**
   * Where machines may be rented, those first that are up: not where none is heard. Where that
   * holds for all of them nothing tells them apart.
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
          if (recentlyHeard.getOrDefault(name, true)) {
            doubtful.add(name);
          }
        }
        case CUT, APART -> {}
      }
    }
    up.addAll(doubtful);
    return up.isEmpty() ? candidates : up;
  }

  /** All zones as they stand. */
  public List<View> view(Instant now) {
    List<View> views = new ArrayList<>();
    zones.forEach(
        (name, zone) ->
            views.add(
                new View(name, zone.state().name(), zone.losses(), zone.outageDuration(now))));
    return views;
  }
}
