package io.pineladder.autoscaling;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether arrays that wait start in time on the machines there are. Work is worth times seconds:
 * tasks times their run time times what each takes of a machine at its list price, so machines of
 * all types compare. It is taken to flow through all of the capacity in the order of priority; the
 * last of it starts once capacity times seconds is its sum, since what runs by then has as much
 * left to do as what runs now.
 */
final class BatchBacklog {
  /**
   * What is due at one time.
   *
   * @param sum the work of this and of everything before it
   * @param within the seconds left to start it
   * @param rate the work that comes before it each second
   */
  private record Deadline(double cumulativeWork, double secondsLeft, double arrivalRate) {
    /**
     * The capacity beyond that given which would start all in time, had it been there from now on.
     */
    double missingCapacity(double capacity) {
      return cumulativeWork / secondsLeft + arrivalRate - capacity;
    }
  }

  private final double capacity;
  private final List<Deadline> deadlines = new ArrayList<>();
  private double cumulativeWork;
  private double concurrentValue;
  private double missingCapacity;

  BatchBacklog(double capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds tasks that come after what was added before; what cannot be helped any more presses no
   * more.
   *
   * @param run the seconds that each of them runs
   * @param within the seconds left to start them
   * @param ready the seconds until a machine rented now would work on them
   * @param rate the work that still comes each second and goes before them
   */
  void add(
      double tasksValue,
      double runSeconds,
      double secondsLeft,
      double secondsToReady,
      double arrivalRate) {
    cumulativeWork += tasksValue * runSeconds;
    concurrentValue += tasksValue;
    if (secondsLeft > secondsToReady) {
      Deadline deadline = new Deadline(cumulativeWork, secondsLeft, arrivalRate);
      deadlines.add(deadline);
      missingCapacity =
          Math.max(
              missingCapacity,
              Math.min(
                  concurrentValue,
                  deadline.missingCapacity(capacity)
                      * secondsLeft
                      / (secondsLeft - secondsToReady)));
    }
  }

  /** The capacity that must be rented for all to start in time; 0 when what there is will do. */
  double missingCapacity() {
    return missingCapacity;
  }

  /**
   * How much of the part {@code of} of the capacity is needed for all to start in time, and for
   * what comes.
   *
   * @param rate all work that comes each second
   */
  double neededCapacity(double reducibleCapacity, double arrivalRate) {
    double needed = arrivalRate - (capacity - reducibleCapacity);
    for (Deadline deadline : deadlines) {
      needed = Math.max(needed, deadline.missingCapacity(capacity - reducibleCapacity));
    }
    return Math.max(0, Math.min(reducibleCapacity, needed));
  }
}
