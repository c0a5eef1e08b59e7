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
  private final Map<String, Boolean> heard = new TreeMap<>();

  /** One zone, for those who look from outside. */
  public record View(String name, String state, int losses, Duration goneFor) {}

  /**
   * Looks at a zone once a second.
   *
   * @param up machines that should report
   * @param overdue those of them that are late
   * @param lately those heard since the first of them was missed
   * @param inside those that another controller hears, as it has told lately
   * @return whether hardly any of them is heard
   */
  public boolean review(String name, int up, int overdue, int lately, int inside, Instant now) {
    Zone zone = zones.computeIfAbsent(name, n -> new Zone(n, now));
    Zone.Counts counts = new Zone.Counts(up, overdue, lately, inside);
    zone.review(counts, now);
    heard.put(name, lately > 0 || up == 0);
    return counts.isCut();
  }

  /** Whether this node hears nothing of some zone. */
  public boolean isAnyGone() {
    return zones.values().stream().anyMatch(Zone::isGone);
  }

  /** Whether this node hears nothing of the zone. */
  public boolean isGone(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.isGone();
  }

  /** Whether another controller hears the zone and keeps its workers' leases. */
  public boolean isApart(String name) {
    Zone zone = zones.get(name);
    return zone != null && zone.state() == Zone.State.APART;
  }

  /** How much longer a zone that is gone is likely to stay away; zero for others. */
  public Duration expectedAway(String name, Instant now) {
    Zone zone = zones.get(name);
    return zone == null || !zone.isGone() ? Duration.ZERO : zone.expectedAway(now);
  }

  /**
   * Where machines may be rented, those first that are up: not where none is heard. Where that
   * holds for all of them nothing tells them apart.
   */
  public List<String> rentable(List<String> wanted) {
    List<String> good = new ArrayList<>();
    List<String> fair = new ArrayList<>();
    for (String name : wanted) {
      Zone zone = zones.get(name);
      Zone.State state = zone == null ? Zone.State.UP : zone.state();
      switch (state) {
        case UP -> good.add(name);
        case PROBATION, RETURNING -> fair.add(name);
        case DOUBTED -> {
          if (heard.getOrDefault(name, true)) {
            fair.add(name);
          }
        }
        case CUT, APART -> {}
      }
    }
    good.addAll(fair);
    return good.isEmpty() ? wanted : good;
  }

  /** All zones as they stand. */
  public List<View> view(Instant now) {
    List<View> views = new ArrayList<>();
    zones.forEach(
        (name, zone) ->
            views.add(new View(name, zone.state().name(), zone.losses(), zone.goneFor(now))));
    return views;
  }
}
