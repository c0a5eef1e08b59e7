package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.wire.Json;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against one value that cannot be read keeping all controllers from serving. */
class UnreadableRecordTest extends SimulatedCluster {
  private static final Duration MAX_TIME_WITHOUT_LEADER = Duration.ofSeconds(15);

  private static final List<String> PAGED_KINDS =
      List.of("images/", "placed/", "done/", "accepted/");

  private static final List<String> OTHER_KINDS = List.of("end/", "conf/", "lead/");

  /** How a value is damaged. */
  enum Damage {
    NO_OBJECT,
    EMPTY_OBJECT,
    WRONG_TYPE,
    ONE_BAD_ENTRY,
    ENTRY_TWICE,
    OTHER_KIND,
    OUT_OF_RANGE;

    /** Damages after which no entry can be read any more. */
    static Set<Damage> ofWholeValues() {
      return EnumSet.of(NO_OBJECT, EMPTY_OBJECT, WRONG_TYPE);
    }

    JsonNode apply(JsonNode old) {
      ArrayNode entries = old.withArray("entries");
      switch (this) {
        case NO_OBJECT -> {
          return Json.array().add("?");
        }
        case EMPTY_OBJECT -> {
          return Json.object();
        }
        case WRONG_TYPE -> {
          return Json.object().put("entries", "?");
        }
        case ONE_BAD_ENTRY -> entries.addNull();
        case ENTRY_TWICE -> entries.add(entries.path(0));
        case OTHER_KIND -> entries.addArray().add("m-1").add(7);
        case OUT_OF_RANGE -> entries.addArray().add("req-1").add(-1).add(1L << 40).add(1L << 62);
      }
      return old;
    }
  }

  /** Which controllers read the damaged value, and when. */
  enum Reader {
    /** The next leader, whose replica has the value. */
    NEXT_LEADER,
    /** Two followers without a replica, before one of them leads. */
    RESTARTED_FOLLOWERS,
    /** All controllers, with the replicas in their snapshots. */
    ALL_WITH_SNAPSHOTS,
    /** The first leader of a new generation, in which the value is damaged again. */
    LEADER_AFTER_REBUILD
  }

  /** Three seeds a row; more with {@code -Dpineladder.unreadable=20}. */
  static Stream<Arguments> rows() {
    long seeds = Long.getLong("pineladder.unreadable", 3);
    List<Arguments> rows = new ArrayList<>();
    PAGED_KINDS.forEach(kind -> addRows(rows, kind, seeds, EnumSet.allOf(Damage.class)));
    OTHER_KINDS.forEach(kind -> addRows(rows, kind, seeds, Damage.ofWholeValues()));
    return rows.stream();
  }

  private static void addRows(List<Arguments> rows, String kind, long seeds, Set<Damage> damages) {
    for (Damage damage : damages) {
      for (Reader reader : Reader.values()) {
        for (long seed = 1; seed <= seeds; seed++) {
          rows.add(Arguments.of(kind, damage, reader, seed));
        }
      }
    }
  }

  private final Set<Long> generations = new TreeSet<>();
  private Instant leaderlessSince;
  private Duration longestWithoutLeader = Duration.ZERO;

  @Override
  void onStoreChange(String key) {
    if (key.equals("generation/current")) {
      generations.add(store.generationBase());
    }
  }

  private void watchLeadership() {
    boolean led = controllers.stream().anyMatch(c -> c.alive[0] && c.node.leadingTerm() != null);
    leaderlessSince = led ? null : leaderlessSince == null ? world.now() : leaderlessSince;
    if (leaderlessSince != null) {
      Duration without = Duration.between(leaderlessSince, world.now());
      longestWithoutLeader =
          without.compareTo(longestWithoutLeader) > 0 ? without : longestWithoutLeader;
    }
    world.after(100, this::watchLeadership);
  }

  private Controller leader() {
    return controllers.stream()
        .filter(c -> c.alive[0] && c.node.election().holdsTerm())
        .findFirst()
        .orElseThrow();
  }

  private void killAllButLeader() {
    Controller leader = leader();
    controllers.stream().filter(c -> c != leader).forEach(c -> kill(c, 6_000));
  }

  private void submitJobs() {
    for (int i = 0; i < 12; i++) {
      ObjectNode spec = randomJobSpec();
      // Some tasks end before the damage, others run on.
      spec.put("guess_s", i % 2 == 0 ? 80.0 : 5.0);
      submit(spec);
      world.runFor(Duration.ofMillis(500));
    }
    world.runFor(Duration.ofSeconds(30));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void oneDamagedValueCostsAtMostThatValue(String kind, Damage damage, Reader reader, long seed) {
    if (reader == Reader.ALL_WITH_SNAPSHOTS) {
      for (int i = 0; i < 3; i++) {
        snapshotStores.put(i, new InMemorySnapshotStore());
      }
    }
    allowsDataLoss = true;
    begin(seed);
    world.runFor(Duration.ofSeconds(4));
    submitJobs();
    watchLeadership();
    List<String> lostJobs = new ArrayList<>();
    String key =
        store.replaceValue(
            kind,
            page -> {
              page.path("entries").forEach(entry -> lostJobs.add(entry.at("/spec/ref").asText()));
              return damage.apply(page);
            });
    assertNotNull(key, "there is a value to damage");
    if (kind.equals("end/")) {
      rules.jobs.get(key.substring(kind.length())).recordLost = true;
    }
    switch (reader) {
      case NEXT_LEADER -> kill(leader(), 6_000);
      case RESTARTED_FOLLOWERS -> {
        killAllButLeader();
        if (kind.equals("accepted/") && Damage.ofWholeValues().contains(damage)) {
          lostJobs.forEach(id -> rules.jobs.get(id).recordLost = true);
        }
        world.runFor(Duration.ofSeconds(18));
        kill(leader(), 6_000);
      }
      case ALL_WITH_SNAPSHOTS -> controllers.forEach(c -> kill(c, 6_000 + c.index * 300L));
      case LEADER_AFTER_REBUILD -> {
        store.damageNextGeneration(kind, damage::apply);
        store.losePrefix("placed/");
      }
    }
    world.runFor(Duration.ofSeconds(60));
    assertTrue(
        longestWithoutLeader.compareTo(MAX_TIME_WITHOUT_LEADER) <= 0,
        "no leader for " + longestWithoutLeader + ", generations: " + generations);
    int expected = reader == Reader.LEADER_AFTER_REBUILD ? 2 : 1;
    assertTrue(generations.size() <= expected, "rebuilt again and again: " + generations);
    rules.faultsEndedAt = world.now();
    for (int i = 0; i < 4; i++) {
      submit(randomJobSpec());
    }
    settle(Duration.ofSeconds(400));
  }
}
