package io.pineladder.autoscaling;

import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How long machines have taken of late to come up, and how many of them came at all. A rented
 * machine counts in full until it is late by that, then half, then no more, so that room which does
 * not come is replaced, neither all at once when all boots are slow nor never.
 */
final class BootTimeEstimator {
  private static final Logger log = LoggerFactory.getLogger(BootTimeEstimator.class);

  /** Boots remembered of a type. */
  private static final int KEPT = 32;

  /** A machine is not late before so many times its type's boot time. */
  private static final double USUAL = 1.6;

  /** Longer than the slowest tenth of late by this is late. */
  private static final double MARGIN = 1.25;

  /** A machine that is late by this is not counted on any more. */
  private static final double VERY = 1.5;

  /** Before so many times the nominal time nothing is given up. */
  private static final double LEAST_WAIT = 5;

  /** Boots that take so many times the nominal time on average are slow. */
  private static final double SLOW = 1.75;

  /** Boots to have seen before they are called usual. */
  private static final int SEEN = 4;

  /** With fewer of the machines coming up, room is not easily had again. */
  private static final double MOST = 0.8;

  /** What is known of a type: each boot as a part of the nominal time, and whether it came. */
  private static final class Record {
    final Deque<Double> took = new ArrayDeque<>();
    final Deque<Boolean> came = new ArrayDeque<>();
    boolean slow;
  }

  private final Map<String, Record> records = new HashMap<>();
  private final Set<Machine> booting = new HashSet<>();
  private final Set<Machine> overdue = new HashSet<>();

  private static <T> void add(Deque<T> kept, T one) {
    kept.addLast(one);
    if (kept.size() > KEPT) {
      kept.removeFirst();
    }
  }

  private Record of(MachineType type) {
    return records.computeIfAbsent(type.name(), t -> new Record());
  }

  /** Looks at a machine, once in a while. */
  void observe(Machine machine, Instant now) {
    switch (machine.state()) {
      case EXPECTED -> {
        // What an earlier leader rented may have been up before anybody looked: the list lags.
        if (machine.rentedByThisLeader) {
          booting.add(machine);
          if (weight(machine, now) == 0 && overdue.add(machine)) {
            add(of(machine.type).came, false);
          }
        }
      }
      case HEARD, CONFIRMED -> {
        if (booting.remove(machine)) {
          Record of = of(machine.type);
          if (!overdue.remove(machine)) {
            add(of.came, true);
          }
          add(of.took, parts(machine, now));
          tell(machine.type, of);
        }
      }
      case SILENT -> {}
      case RELEASING, GONE -> forget(machine);
    }
  }

  void forget(Machine machine) {
    booting.remove(machine);
    overdue.remove(machine);
  }

  private static double parts(Machine machine, Instant now) {
    double nominal = Math.max(1, machine.type.bootTime().toMillis());
    return Duration.between(machine.createdAt, now).toMillis() / nominal;
  }

  private void tell(MachineType type, Record of) {
    boolean slow = usual(of) >= SLOW;
    if (slow != of.slow) {
      of.slow = slow;
      log.info(
          "machines of {} boot {}: {}", type.name(), slow ? "slowly" : "as usual", usual(type));
    }
  }

  private static double usual(Record of) {
    return of.took.stream().mapToDouble(Double::doubleValue).average().orElse(1);
  }

  /** How long machines of the type have usually taken of late. */
  Duration usual(MachineType type) {
    return times(type, usual(of(type)));
  }

  private double slowest(MachineType type) {
    double[] sorted = of(type).took.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double slow = sorted.length == 0 ? 1 : sorted[(sorted.length * 9) / 10];
    return Math.max(USUAL, slow * MARGIN);
  }

  /** How much of a machine that is not up yet is to be counted on. */
  double weight(Machine machine, Instant now) {
    double parts = parts(machine, now);
    double late = slowest(machine.type);
    return parts < late ? 1 : parts < VERY * late ? 0.5 : 0;
  }

  /** Whether a machine has been waited for in vain for long enough. */
  boolean isLost(Machine machine, Instant now) {
    // It is charged as long as it is waited for.
    return parts(machine, now) > Math.max(LEAST_WAIT, slowest(machine.type));
  }

  /**
   * Whether a machine rented now is likely to be up about when its type says, as far as has been
   * seen: a new leader that has seen no boots yet must not count on good ones.
   */
  boolean areUsual(MachineType type) {
    Record of = of(type);
    return of.took.size() >= SEEN && usual(of) < SLOW && comingPart(type) > MOST;
  }

  /** The part of the machines rented that came up in time; cautious before much was seen. */
  double comingPart(MachineType type) {
    Record of = of(type);
    long came = of.came.stream().filter(c -> c).count();
    return (came + 8.0) / (of.came.size() + 8.0);
  }

  private static Duration times(MachineType type, double factor) {
    return Duration.ofMillis((long) (type.bootTime().toMillis() * factor));
  }
}
