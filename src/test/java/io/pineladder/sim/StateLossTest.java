package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.recovery.Generations;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Days on which the state service loses data, in each of the ways in which it can. */
class StateLossTest extends SimulatedCluster {
  /** What is lost. */
  enum Loss {
    NOTHING,
    EVERYTHING,
    LAST_SECONDS,
    LAST_SECONDS_LEASES_KEPT,
    PLACEMENTS,
    ACCEPTED,
    ENDS,
    DAMAGED_DONE,
    DAMAGED_ACCEPTED,
    DAMAGED_PLACED
  }

  /** Two days of each kind; more by hand with {@code -Dpineladder.losses=20}. */
  static Stream<Arguments> days() {
    long days = Long.getLong("pineladder.losses", 2);
    long first = Long.getLong("pineladder.first", 1);
    List<Arguments> all = new ArrayList<>();
    for (Loss loss : Loss.values()) {
      for (long seed = first; seed < first + days; seed++) {
        all.add(Arguments.of(loss, seed));
      }
    }
    return all.stream();
  }

  private void lose(Loss loss) {
    switch (loss) {
      case NOTHING -> {}
      case EVERYTHING -> store.loseEverything();
      case LAST_SECONDS -> store.restore(Duration.ofSeconds(15), false);
      case LAST_SECONDS_LEASES_KEPT -> store.restore(Duration.ofSeconds(15), true);
      case PLACEMENTS -> store.losePrefix("placed/");
      case ACCEPTED -> store.losePrefix("accepted/");
      case ENDS -> store.losePrefix("end/");
      case DAMAGED_DONE -> store.damage("done/");
      case DAMAGED_ACCEPTED -> store.damage("accepted/");
      case DAMAGED_PLACED -> store.damage("placed/");
    }
  }

  private void work(int steps) {
    for (int step = 0; step < steps; step++) {
      submit(randomJob());
      List<Rules.Known> open =
          rules.jobs.values().stream().filter(j -> j.accepted && !j.isOver()).toList();
      if (!open.isEmpty() && world.random.nextInt(3) == 0) {
        cancel(open.get(world.random.nextInt(open.size())));
      }
      world.runFor(Duration.ofMillis(1_000 + world.random.nextInt(3_000)));
    }
  }

  /** Every job is served to its end and no rule breaks, while the controllers live on. */
  @ParameterizedTest
  @MethodSource("days")
  void whatIsLostIsRebuiltByControllersThatLive(Loss loss, long seed) {
    begin(seed);
    losesData = loss != Loss.NOTHING;
    store.backUp();
    world.runFor(Duration.ofSeconds(4));
    world.lossy = 0.02;
    work(20);
    lose(loss);
    if (loss.name().startsWith("DAMAGED")) {
      // Whoever reads it next is a new leader.
      kill(controllers.get(leader()), 6_000);
    }
    work(20);
    settle(Duration.ofSeconds(400));
    boolean rebuilt =
        controllers.stream()
            .anyMatch(c -> c.node.generations().state() == Generations.State.REBUILT);
    assertTrue(rebuilt || loss == Loss.NOTHING || loss.name().startsWith("DAMAGED"));
  }
}
