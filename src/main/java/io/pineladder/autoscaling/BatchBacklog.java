package io.pineladder.autoscaling;

import java.util.ArrayList;
import java.util.List;

/**
 * Estimates whether the pending deferrable job arrays start in time on the current capacity.
 *
 * <p>Work is measured as value times seconds: the number of tasks, times their run time, times the
 * list price of the machine share that each task takes, so that all machine types are comparable.
 * The model processes work in priority order on the whole capacity. The last task starts once
 * capacity times elapsed seconds equals the sum of the work, assuming that the tasks running then
 * have as much work left as those running now.
 */
final class BatchBacklog {
  /**
   * A group of tasks with the same start deadline.
   *
   * @param cumulativeWork the work of these tasks and of all groups before them
   * @param secondsLeft the seconds left to start them
   * @param arrivalRate the work of higher priority that arrives per second
   */
  private record Deadline(double cumulativeWork, double secondsLeft, double arrivalRate) {
    /** The capacity that is missing to meet the deadline, if it were available from now on. */
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
   * @param capacity the capacity available to deferrable work, at list prices per hour
   */
  BatchBacklog(double capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds tasks that run after those added before. If a machine rented now would be ready too late
   * for them, they count as work but set no deadline.
   *
   * @param tasksValue the capacity that the tasks take, at list prices per hour
   * @param runSeconds the run time of each task, in seconds
   * @param secondsLeft the seconds left to start the tasks
   * @param secondsToReady the seconds until a machine rented now could run them
   * @param arrivalRate the work that arrives per second and runs before them
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

  /** The capacity to rent so that all tasks start in time; 0 if the current capacity suffices. */
  double missingCapacity() {
    return missingCapacity;
  }

  /**
   * How much of the reducible part of the capacity is needed so that all tasks, including arriving
   * ones, start in time.
   *
   * @param arrivalRate all deferrable work that arrives per second
   */
  double neededCapacity(double reducibleCapacity, double arrivalRate) {
    double needed = arrivalRate - (capacity - reducibleCapacity);
    for (Deadline deadline : deadlines) {
      needed = Math.max(needed, deadline.missingCapacity(capacity - reducibleCapacity));
    }
    return Math.max(0, Math.min(reducibleCapacity, needed));
  }
}
