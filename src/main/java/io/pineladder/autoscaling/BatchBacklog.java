package io.pineladder.autoscaling;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates whether the pending deferrable arrays start in time on the present capacity. Work is
 * value times seconds: tasks times their run time times what each takes of a machine at its list
 * price, so machines of all types compare. It is taken to flow through all of the capacity in the
 * order of priority; the last of it starts once capacity times seconds equals its sum, since what
 * runs by then has as much left to do as what runs now.
 */
final class BatchBacklog {
  /**
   * Tasks that are due at one time.
   *
   * @param cumulativeWork the work of these tasks and of all before them
   * @param secondsLeft the seconds left to start them
   * @param arrivalRate the work of higher priority that arrives each second
   */
  private record Deadline(double cumulativeWork, double secondsLeft, double arrivalRate) {
    /**
     * The capacity, beyond the given one, that would start all in time if it were there from now
     * on.
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

  /**
   * Creates an empty backlog.
   *
   * @param capacity what deferrable work may use, at list prices an hour
   */
  BatchBacklog(double capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds tasks that follow those added before. Tasks that no machine rented now would start in time
   * count as work but not as a deadline.
   *
   * @param tasksValue what the tasks take, at list prices an hour
   * @param runSeconds the seconds that each of them runs
   * @param secondsLeft the seconds left to start them
   * @param secondsToReady the seconds until a machine rented now would work on them
   * @param arrivalRate the work that still arrives each second and goes before them
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

  /** The capacity to rent for all to start in time; 0 if the present one suffices. */
  double missingCapacity() {
    return missingCapacity;
  }

  /**
   * How much of the reducible part of the capacity is needed for all to start in time, with what
   * arrives.
   *
   * @param arrivalRate all deferrable work that arrives each second
   */
  double neededCapacity(double reducibleCapacity, double arrivalRate) {
    double needed = arrivalRate - (capacity - reducibleCapacity);
    for (Deadline deadline : deadlines) {
      needed = Math.max(needed, deadline.missingCapacity(capacity - reducibleCapacity));
    }
    return Math.max(0, Math.min(reducibleCapacity, needed));
  }
}
