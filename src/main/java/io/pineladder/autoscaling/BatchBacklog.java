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
  private record Due(double sum, double within, double rate) {
    /**
     * The capacity beyond that given which would start all in time, had it been there from now on.
     */
    double lacks(double capacity) {
      return sum / within + rate - capacity;
    }
  }

  private final double capacity;
  private final List<Due> dues = new ArrayList<>();
  private double sum;
  private double worth;
  private double lacking;

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
  void add(double tasksWorth, double run, double within, double ready, double rate) {
    sum += tasksWorth * run;
    worth += tasksWorth;
    if (within > ready) {
      Due due = new Due(sum, within, rate);
      dues.add(due);
      lacking = Math.max(lacking, Math.min(worth, due.lacks(capacity) * within / (within - ready)));
    }
  }

  /** The capacity that must be rented for all to start in time; 0 when what there is will do. */
  double lacking() {
    return lacking;
  }

  /**
   * How much of the part {@code of} of the capacity is needed for all to start in time, and for
   * what comes.
   *
   * @param rate all work that comes each second
   */
  double needed(double of, double rate) {
    double most = rate - (capacity - of);
    for (Due due : dues) {
      most = Math.max(most, due.lacks(capacity - of));
    }
    return Math.max(0, Math.min(of, most));
  }
}
