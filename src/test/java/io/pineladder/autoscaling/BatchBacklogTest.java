package io.pineladder.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/**
 * What would be late, against a plain model that lets the work flow through the machines step by
 * step.
 */
class BatchBacklogTest {
  private static final double STEP = 0.05;

  /** Tasks with the time left to start them, and the work that comes before them each second. */
  private record Piece(double worth, double run, double within, double ready, double rate) {}

  /**
   * Whether the last of each piece has started in time on the capacity, with more of it once ready.
   */
  private static boolean inTime(List<Piece> pieces, double capacity, double extra) {
    double before = 0;
    for (Piece piece : pieces) {
      before += piece.worth * piece.run;
      double open = before;
      for (double at = 0; at < piece.within; at += STEP) {
        open += piece.rate * STEP;
        open -= (capacity + (at >= piece.ready ? extra : 0)) * STEP;
      }
      if (open > 1e-3 * before + piece.rate * STEP) {
        return false;
      }
    }
    return true;
  }

  private static List<Piece> random(RandomGenerator random) {
    List<Piece> pieces = new ArrayList<>();
    double within = 90;
    int count = 1 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      within += random.nextInt(40);
      pieces.add(
          new Piece(
              1 + random.nextInt(60),
              5 + random.nextInt(80),
              within,
              10 + random.nextInt(20),
              random.nextInt(6)));
    }
    return pieces;
  }

  /** More than what all tasks take at once helps nobody, and is not rented. */
  private static boolean isEnoughWhenAllRunAtOnce(List<Piece> pieces, double capacity) {
    double worth = 0;
    for (int i = 0; i < pieces.size(); i++) {
      worth += pieces.get(i).worth;
      if (!inTime(pieces.subList(0, i + 1), capacity, worth * 0.98)) {
        return false;
      }
    }
    return true;
  }

  private static BatchBacklog of(List<Piece> pieces, double capacity) {
    BatchBacklog backlog = new BatchBacklog(capacity);
    pieces.forEach(p -> backlog.add(p.worth, p.run, p.within, p.ready, p.rate));
    return backlog;
  }

  @Test
  void whatIsRentedIsWhatTheModelNeeds() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(27);
    int lacked = 0;
    for (int round = 0; round < 400; round++) {
      List<Piece> pieces = random(random);
      double capacity = 4 + random.nextInt(60);
      double lacking = of(pieces, capacity).missingCapacity();
      if (lacking > 0) {
        lacked++;
        assertTrue(!inTime(pieces, capacity * 0.98, 0), "nothing was to be rented");
        if (isEnoughWhenAllRunAtOnce(pieces, capacity)) {
          assertTrue(inTime(pieces, capacity, lacking * 1.02), "too little is rented");
          assertTrue(!inTime(pieces, capacity * 0.98, lacking * 0.9), "too much is rented");
        }
      } else {
        assertTrue(inTime(pieces, capacity * 1.02, 0), "something was to be rented");
      }
    }
    assertTrue(lacked > 100, lacked + " rounds lacked something");
  }

  @Test
  void whatIsKeptIsWhatTheModelNeeds() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(28);
    for (int round = 0; round < 400; round++) {
      List<Piece> pieces = random(random);
      double capacity = 20 + random.nextInt(60);
      double part = capacity / 2;
      double needed = of(pieces, capacity).neededCapacity(part, 0);
      if (needed < part) {
        assertTrue(inTime(pieces, (capacity - part + needed) * 1.02, 0), "too little is kept");
      }
      if (needed > 0) {
        assertTrue(!inTime(pieces, (capacity - part + needed) * 0.95, 0), "too much is kept");
      }
    }
  }

  @Test
  void whatComesKeepsMachinesThoughNothingWaits() {
    assertEquals(3, new BatchBacklog(10).neededCapacity(5, 8));
    assertEquals(0, new BatchBacklog(10).neededCapacity(5, 4));
    assertEquals(5, new BatchBacklog(10).neededCapacity(5, 80));
  }

  @Test
  void whatCannotBeHelpedPressesNoMore() {
    BatchBacklog backlog = new BatchBacklog(1);
    backlog.add(100, 60, 15, 20, 0);
    assertEquals(0, backlog.missingCapacity());
  }
}
