package io.pineladder.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether arrays that wait start in time on the machines there are. Work is worth times seconds: tasks times
 * their run time times what each takes of a machine at its list price, so machines of all types compare. It is
 * taken to flow through all of the capacity in the order of priority; the last of it starts once capacity
 * times seconds is its sum, since what runs by then has as much left to do as what runs now.
 */
final class Backlog {
  /**
   * What is due at one time.
   *
   * @param sum the work of this and of everything before it
   * @param worth what all of that would take at once
   * @param within the seconds left to start it
   * @param ready the seconds until a machine rented now would work on it, less than {@code within}
   */
  private record Due(double sum, double worth, double within, double ready) {}

  private final double capacity;
  private final List<Due> dues = new ArrayList<>();
  private double sum;
  private double worth;

  Backlog(double capacity) {
    this.capacity = capacity;
  }

  /** Adds work that comes after what was added before; what cannot be helped any more presses no more. */
  void add(double tasksWorth, double run, double within, double ready) {
    sum += tasksWorth * run;
    worth += tasksWorth;
    if (within > ready) {
      dues.add(new Due(sum, worth, within, ready));
    }
  }

  /** The capacity that must be rented for all to be done in time; 0 when what there is will do. */
  double lacking() {
    double most = 0;
    for (Due due : dues) {
      double lacks = (due.sum - capacity * due.within) / (due.within - due.ready);
      most = Math.max(most, Math.min(due.worth, lacks));
    }
    return most;
  }

  /** How much of the part {@code of} of the capacity is needed for all to be done in time. */
  double needed(double of) {
    double most = 0;
    for (Due due : dues) {
      most = Math.max(most, due.sum / due.within - (capacity - of));
    }
    return Math.min(of, most);
  }
}
