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
 * Estimates how long machines take to boot, and which share of them does, from the latest boots of
 * each type. A rented machine counts in full until it is late by that, then by half, then no more:
 * so capacity that does not arrive is replaced, neither all at once when all boots are slow nor
 * never.
 */
final class BootTimeEstimator {
  private static final Logger log = LoggerFactory.getLogger(BootTimeEstimator.class);

  /** How many boots of a type are remembered. */
  private static final int HISTORY_SIZE = 32;

  /** A machine is not late before this multiple of its type's boot time. */
  private static final double MIN_LATE_FACTOR = 1.6;

  /** A machine is late beyond the slowest tenth of the latest boots, times this. */
  private static final double LATE_MARGIN = 1.25;

  /** A machine that is late by this factor is not counted on any more. */
  private static final double VERY_LATE_MARGIN = 1.5;

  /** No machine is given up before this multiple of its type's boot time. */
  private static final double MIN_TIMEOUT_FACTOR = 5;

  /** Boots that take this multiple of their type's boot time on average are slow. */
  private static final double SLOW_FACTOR = 1.75;

  /** How many boots of a type must be known before they count as typical. */
  private static final int MIN_OBSERVED_BOOTS = 4;

  /** With a smaller share of the machines booting, capacity is not easily replaced. */
  private static final double MIN_ARRIVAL_SHARE = 0.8;

  /** The latest boots of a type: their multiples of its boot time, and which were in time. */
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

  /** Observes a machine; called for each at every review. */
  void observe(Machine machine, Instant now) {
    switch (machine.state()) {
      case EXPECTED -> {
        // A machine that an earlier leader rented may have been up before it was listed here: the
        // cloud's list lags.
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
      case RELEASING, GONE -> forget(machine);
      default -> {
        // SILENT: it has booted, and nothing more is learnt from it.
      }
    }
  }

  /** Forgets a machine that was released. */
  void forget(Machine machine) {
    booting.remove(machine);
    overdue.remove(machine);
  }

  private static double bootFactor(Machine machine, Instant now) {
    double nominal = Math.max(1, machine.type.bootTime().toMillis());
    return Duration.between(machine.createdAt, now).toMillis() / nominal;
  }

  private void logSpeedChange(MachineType type, TypeHistory history) {
    boolean slow = averageBootFactor(history) >= SLOW_FACTOR;
    if (slow != history.slow) {
      history.slow = slow;
      log.info(
          "Boot speed changed: type={} slow={} typicalBootTime={}",
          type.name(),
          slow,
          typicalBootTime(type));
    }
  }

  private static double averageBootFactor(TypeHistory history) {
    return history.bootFactors.stream().mapToDouble(Double::doubleValue).average().orElse(1);
  }

  /** How long machines of the type have lately taken to boot, on average. */
  Duration typicalBootTime(MachineType type) {
    return scaledBootTime(type, averageBootFactor(historyOf(type)));
  }

  private double lateFactor(MachineType type) {
    double[] sorted =
        historyOf(type).bootFactors.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double slowFactor = sorted.length == 0 ? 1 : sorted[(sorted.length * 9) / 10];
    return Math.max(MIN_LATE_FACTOR, slowFactor * LATE_MARGIN);
  }

  /** The share of a machine that has not booted yet to count on: 1, 0.5 or 0. */
  double weight(Machine machine, Instant now) {
    double factor = bootFactor(machine, now);
    double lateFactor = lateFactor(machine.type);
    return factor < lateFactor ? 1 : factor < VERY_LATE_MARGIN * lateFactor ? 0.5 : 0;
  }

  /** Whether a machine has been booting for so long that it is to be released. */
  boolean hasTimedOut(Machine machine, Instant now) {
    // It is charged as long as it is waited for.
    return bootFactor(machine, now) > Math.max(MIN_TIMEOUT_FACTOR, lateFactor(machine.type));
  }

  /**
   * Whether a machine rented now is likely to boot in about its type's boot time, by the boots that
   * are known: a new leader, which knows of none yet, must not count on good ones.
   */
  boolean isTypical(MachineType type) {
    TypeHistory history = historyOf(type);
    return history.bootFactors.size() >= MIN_OBSERVED_BOOTS
        && averageBootFactor(history) < SLOW_FACTOR
        && arrivalShare(type) > MIN_ARRIVAL_SHARE;
  }

  /** The share of rented machines that boot in time; close to 1 while few boots are known. */
  double arrivalShare(MachineType type) {
    TypeHistory history = historyOf(type);
    long came = history.arrivedInTime.stream().filter(c -> c).count();
    return (came + 8.0) / (history.arrivedInTime.size() + 8.0);
  }

  private static Duration scaledBootTime(MachineType type, double factor) {
    return Duration.ofMillis((long) (type.bootTime().toMillis() * factor));
  }
}
