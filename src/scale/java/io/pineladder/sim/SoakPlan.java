package io.pineladder.sim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Collectors;

/** The faults of one soak run, which follow from its seed. */
record SoakPlan(long seed, List<SoakPlan.Fault> faults) {
  private static final int MIN_FAULTS = 4;
  private static final int MAX_FAULTS = 9;
  private static final int MIN_FAULT_MILLIS = 500;
  private static final int MAX_FAULT_MILLIS = 15_000;

  /** What a fault does. */
  enum Kind {
    /** A controller is killed, and is back after the duration. */
    KILL,
    /** All controllers are killed, and are back one after the other. */
    KILL_ALL,
    /** Whichever controller leads is killed, four times in the duration, and is back at once. */
    KILL_LEADERS,
    /** The process of a controller is paused. */
    PAUSE,
    /** The key-value store gives one controller no answer. */
    STORE_CUT,
    /** The key-value store answers one controller with 503. */
    STORE_REFUSE,
    /** The key-value store answers all with 503. */
    STORE_OUTAGE,
    /** A part of the transactions gets no answer and is executed seconds later. */
    STORE_LATE_WRITES,
    /** A part of the transactions is executed and gets no answer. */
    STORE_LOST_ANSWERS,
    /** One page of each kind that can be had again from elsewhere becomes unreadable. */
    STORE_DAMAGED_PAGES,
    /** The cloud answers with 503. */
    CLOUD_OUTAGE,
    /** A part of the machines reaches no controller. */
    WORKERS_MUTE,
    /** A part of the machines receives neither answers nor commands. */
    WORKERS_DEAF,
    /** A part of the messages of all workers is delayed by seconds. */
    WORKERS_SLOW,
    /** Copies of heartbeats arrive again at any controller, seconds to more than a lease later. */
    LATE_REPORTS,
    /** A part of the commands gets no answer and is executed once, seconds later. */
    LATE_COMMANDS,
    /** A part of the commands is executed and answered, and a copy of it arrives later. */
    COPIED_COMMANDS,
    /** A part of the machines ends. */
    MACHINES_DIE,
    /** Hundreds of connections to one controller send requests that never end. */
    UNFINISHED_REQUESTS
  }

  /**
   * One fault.
   *
   * @param at when it begins, from the start of the load
   * @param duration how long it lasts
   * @param controller the controller concerned, where the kind is about one
   * @param share the part of the machines or messages concerned, where the kind is about some
   */
  record Fault(Kind kind, Duration at, Duration duration, int controller, double share) {
    @Override
    public String toString() {
      return String.format(
          "%.1fs %s for %.1fs controller=%d share=%.2f",
          at.toMillis() / 1e3, kind, duration.toMillis() / 1e3, controller, share);
    }
  }

  /** Draws the faults of a seed; several overlap. */
  static SoakPlan random(long seed, Duration length, int controllers) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    int count = random.nextInt(MIN_FAULTS, MAX_FAULTS + 1);
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
      faults.add(
          new Fault(
              kind,
              Duration.ofMillis(random.nextLong(length.toMillis())),
              Duration.ofMillis(random.nextInt(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS)),
              random.nextInt(controllers),
              0.1 + 0.5 * random.nextDouble()));
    }
    faults.sort(Comparator.comparing(Fault::at));
    return new SoakPlan(seed, faults);
  }

  /** When the last fault is over. */
  Duration end() {
    return faults.stream()
        .map(fault -> fault.at.plus(fault.duration))
        .max(Comparator.naturalOrder())
        .orElse(Duration.ZERO);
  }

  @Override
  public String toString() {
    return "seed "
        + seed
        + ": "
        + faults.stream().map(Fault::toString).collect(Collectors.joining("; "));
  }
}
