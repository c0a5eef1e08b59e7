package io.pineladder.zones;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The zones as one leader sees them: where machines may be rented, and which silent machines may
 * still be alive. All methods run on the event loop.
 */
public final class Zones {
  private final Map<String, Zone> zones = new TreeMap<>();

  /**
   * A zone as the administration API shows it.
   *
   * @param state the name of its state
   * @param outageCount how often it has become unreachable in this term
   * @param outageDuration for how long it has been unreachable; zero if it is not
   */
  public record View(String name, String state, int outageCount, Duration outageDuration) {}

  /** Applies a zone's heartbeat counts, once a second. */
  public void review(String name, HeartbeatCounts counts, Instant now) {
    zones.computeIfAbsent(name, n -> new Zone(n, now)).review(counts, now);
  }

  /** Whether hardly any machine of some zone is heard here. */
  public boolean isAnyUnreachable() {
    return zones.values().stream().anyMatch(Zone::isUnreachable);
  }

  /** Whether hardly any machine of the zone is heard here. */
  public boolean isUnreachable(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.isUnreachable();
  }

  /** Whether another controller hears the zone and keeps its workers' leases alive. */
  public boolean isKeptAliveByPeers(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.state() == Zone.State.APART;
  }

  /** How much longer the zone is likely to be unreachable; zero if it is not. */
  public Duration expectedRemainingOutage(String name, Instant now) {
    Zone zone = zones.get(name);
    return zone == null || !zone.isUnreachable()
        ? Duration.ZERO
        : zone.expectedRemainingOutage(now);
  }

  /**
   * The candidates where machines may be rented, zones that are up first. Zones where no machine is
   * heard are left out, unless all of them are.
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
          if (zone.isAnyHeard()) {
            doubtful.add(name);
          }
        }
        default -> {
          // CUT, APART: no machine is rented where hardly any is heard.
        }
      }
    }
    up.addAll(doubtful);
    return up.isEmpty() ? candidates : up;
  }

  /** All zones, by name. */
  public List<View> view(Instant now) {
    List<View> views = new ArrayList<>();
    zones.forEach(
        (name, zone) ->
            views.add(
                new View(name, zone.state().name(), zone.losses(), zone.outageDuration(now))));
    return views;
  }
}
