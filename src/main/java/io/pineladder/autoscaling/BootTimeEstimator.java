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
 * Estimates how long machines take to boot, and what share of them boots in time, from the latest
 * boots of each type. A booting machine counts in full until it is late by this estimate, then
 * half, then not at all. So machines that fail to boot are replaced, but not all at once when boots
 * are slow in general.
 */
final class BootTimeEstimator {
  private static final Logger log = LoggerFactory.getLogger(BootTimeEstimator.class);

  /** The number of boots that are remembered per type. */
  private static final int HISTORY_SIZE = 32;

  /** A machine is not late before this multiple of its type's boot time. */
  private static final double MIN_LATE_FACTOR = 1.6;

  /** A machine is late after the 90th percentile of the latest boot times, times this. */
  private static final double LATE_MARGIN = 1.25;

  /** A machine is no longer counted after this multiple of the time at which it is late. */
  private static final double VERY_LATE_MARGIN = 1.5;

  /** No boot times out before this multiple of the type's boot time. */
  private static final double MIN_TIMEOUT_FACTOR = 5;

  /** Boots are slow if they take this multiple of the type's boot time on average. */
  private static final double SLOW_FACTOR = 1.75;

  /** The minimum number of observed boots for a type to be considered typical. */
  private static final int MIN_OBSERVED_BOOTS = 4;

  /** The minimum share of machines that boot in time for a type to be considered typical. */
  private static final double MIN_ARRIVAL_SHARE = 0.8;

  /** The latest boots of a type: times as multiples of its boot time, and whether in time. */
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

  /** Updates the history from a machine's state; called for each machine at every review. */
  void observe(Machine machine, Instant now) {
    switch (machine.state()) {
      case EXPECTED -> {
        // A machine rented by an earlier leader may have booted before it was first listed here,
        // because the cloud's list lags.
        if (machine.requestedInThisTerm) {
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
        // SILENT: the machine has booted before.
      }
    }
  }

  /** Removes a released machine. */
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

  /** The average boot time of recent machines of the type. */
  Duration typicalBootTime(MachineType type) {
    return scaledBootTime(type, averageBootFactor(historyOf(type)));
  }

  private double lateFactor(MachineType type) {
    double[] sorted =
        historyOf(type).bootFactors.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    double slowFactor = sorted.length == 0 ? 1 : sorted[(sorted.length * 9) / 10];
    return Math.max(MIN_LATE_FACTOR, slowFactor * LATE_MARGIN);
  }

  /** The share of a booting machine that counts as future capacity: 1, 0.5 or 0. */
  double weight(Machine machine, Instant now) {
    double factor = bootFactor(machine, now);
    double lateFactor = lateFactor(machine.type);
    return factor < lateFactor ? 1 : factor < VERY_LATE_MARGIN * lateFactor ? 0.5 : 0;
  }

  /** Whether a machine has been booting for so long that it should be released. */
  boolean hasTimedOut(Machine machine, Instant now) {
    // The machine is charged for while it boots, so the wait is limited.
    return bootFactor(machine, now) > Math.max(MIN_TIMEOUT_FACTOR, lateFactor(machine.type));
  }

  /**
   * Whether enough recent boots show that a new machine is likely to boot in about its type's boot
   * time; false for a new leader that has observed none.
   */
  boolean isTypical(MachineType type) {
    TypeHistory history = historyOf(type);
    return history.bootFactors.size() >= MIN_OBSERVED_BOOTS
        && averageBootFactor(history) < SLOW_FACTOR
        && arrivalShare(type) > MIN_ARRIVAL_SHARE;
  }

  /** The share of rented machines that boot in time; close to 1 while few are observed. */
  double arrivalShare(MachineType type) {
    TypeHistory history = historyOf(type);
    long inTime = history.arrivedInTime.stream().filter(arrived -> arrived).count();
    return (inTime + 8.0) / (history.arrivedInTime.size() + 8.0);
  }

  private static Duration scaledBootTime(MachineType type, double factor) {
    return Duration.ofMillis((long) (type.bootTime().toMillis() * factor));
  }
}
