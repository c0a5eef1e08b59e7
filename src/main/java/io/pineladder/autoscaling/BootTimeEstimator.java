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
  private static final int HISTORY_SIZE = 32;

  /** A machine is not late before so many times its type's boot time. */
  private static final double MIN_LATE_FACTOR = 1.6;

  /** Longer than the slowest tenth of late by this is late. */
  private static final double LATE_MARGIN = 1.25;

  /** A machine that is late by this is not counted on any more. */
  private static final double VERY_LATE_MARGIN = 1.5;

  /** Before so many times the nominal time nothing is given up. */
  private static final double MIN_GIVE_UP_FACTOR = 5;

  /** Boots that take so many times the nominal time on average are slow. */
  private static final double SLOW_FACTOR = 1.75;

  /** Boots to have seen before they are called usual. */
  private static final int MIN_OBSERVED_BOOTS = 4;

  /** With fewer of the machines coming up, room is not easily had again. */
  private static final double MIN_ARRIVAL_SHARE = 0.8;

  /** What is known of a type: each boot as a part of the nominal time, and whether it came. */
  private static final class TypeHistory {
    final Deque<Double> bootFactors = new ArrayDeque<>();
    final Deque<Boolean> arrivedInTime = new ArrayDeque<>();
    boolean slow;
  }

  private final Map<String, TypeHistory> histories = new HashMap<>();
  private final Set<Machine> booting = new HashSet<>();
  private final Set<Machine> overdue = new HashSet<>();

  private static <T> void add(Deque<T> history, T observation) {
    history.addLast(observation);
    if (history.size() > HISTORY_SIZE) {
      history.removeFirst();
    }
  }

  private TypeHistory historyOf(MachineType type) {
    return histories.computeIfAbsent(type.name(), t -> new TypeHistory());
  }

  /** Looks at a machine, once in a while. */
  void observe(Machine machine, Instant now) {
    switch (machine.state()) {
      case EXPECTED -> {
        // What an earlier leader rented may have been up before anybody looked: the list lags.
        if (machine.rentedByThisLeader) {
          booting.add(machine);
          if (weight(machine, now) == 0 && overdue.add(machine)) {
            add(historyOf(machine.type).arrivedInTime, false);
          }
        }
      }
      case HEARD, CONFIRMED -> {
        if (booting.remove(machine)) {
          TypeHistory history = historyOf(machine.type);
          if (!overdue.remove(machine)) {
            add(history.arrivedInTime, true);
          }
          add(history.bootFactors, bootFactor(machine, now));
          logSpeedChange(machine.type, history);
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

  private static double bootFactor(Machine machine, Instant now) {
    double nominal = Math.max(1, machine.type.bootTime().toMillis());
    return Duration.between(machine.createdAt, now).toMillis() / nominal;
  }

  private void logSpeedChange(MachineType type, TypeHistory history) {
    boolean slow = typicalBootTime(history) >= SLOW_FACTOR;
    if (slow != history.slow) {
      history.slow = slow;
      log.info(
          "machines of {} boot {}: {}",
          type.name(),
          slow ? "slowly" : "as usual",
          typicalBootTime(type));
    }
  }

  private static double typicalBootTime(TypeHistory history) {
    return history.bootFactors.stream().mapToDouble(Double::doubleValue).average().orElse(1);
  }

  /** How long machines of the type have usually taken of late. */
  Duration typicalBootTime(MachineType type) {
    return scaledBootTime(type, typicalBootTime(historyOf(type)));
  }

  private double lateFactor(MachineType type) {
    double[] sorted =
        historyOf(type).bootFactors.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double slowFactor = sorted.length == 0 ? 1 : sorted[(sorted.length * 9) / 10];
    return Math.max(MIN_LATE_FACTOR, slowFactor * LATE_MARGIN);
  }

  /** How much of a machine that is not up yet is to be counted on. */
  double weight(Machine machine, Instant now) {
    double factor = bootFactor(machine, now);
    double lateFactor = lateFactor(machine.type);
    return factor < lateFactor ? 1 : factor < VERY_LATE_MARGIN * lateFactor ? 0.5 : 0;
  }

  /** Whether a machine has been waited for in vain for long enough. */
  boolean isGivenUp(Machine machine, Instant now) {
    // It is charged as long as it is waited for.
    return bootFactor(machine, now) > Math.max(MIN_GIVE_UP_FACTOR, lateFactor(machine.type));
  }

  /**
   * Whether a machine rented now is likely to be up about when its type says, as far as has been
   * seen: a new leader that has seen no boots yet must not count on good ones.
   */
  boolean isTypical(MachineType type) {
    TypeHistory history = historyOf(type);
    return history.bootFactors.size() >= MIN_OBSERVED_BOOTS
        && typicalBootTime(history) < SLOW_FACTOR
        && arrivalShare(type) > MIN_ARRIVAL_SHARE;
  }

  /** The part of the machines rented that came up in time; cautious before much was seen. */
  double arrivalShare(MachineType type) {
    TypeHistory history = historyOf(type);
    long came = history.arrivedInTime.stream().filter(c -> c).count();
    return (came + 8.0) / (history.arrivedInTime.size() + 8.0);
  }

  private static Duration scaledBootTime(MachineType type, double factor) {
    return Duration.ofMillis((long) (type.bootTime().toMillis() * factor));
  }
}
