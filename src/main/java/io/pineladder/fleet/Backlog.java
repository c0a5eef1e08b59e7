package io.pineladder.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Whether arrays that wait are served in time by the machines there are. Work is a rate of money times
 * seconds: tasks times their run time times what each takes of a machine at its list price, so machines of
 * all types compare. All of it is taken to flow through all of the capacity, in the order of priority.
 */
final class Backlog {
  /**
   * What is due at one time.
   *
   * @param sum the work that runs, and that of this and of everything before it
   * @param within the seconds left for it
   * @param ready the seconds until a machine rented now would work on it, less than {@code within}
   */
  private record Due(double sum, double within, double ready) {}

  private final double capacity;
  private final List<Due> dues = new ArrayList<>();
  private double sum;

  /** The work {@code running} holds part of the {@code capacity} until it is done. */
  Backlog(double capacity, double running) {
    this.capacity = capacity;
    this.sum = running;
  }

  /** Adds work that comes after what was added before; what cannot be helped any more presses no more. */
  void add(double work, double within, double ready) {
    sum += work;
    if (within > ready) {
      dues.add(new Due(sum, within, ready));
    }
  }

  /** The capacity that must be rented for all to be done in time; 0 when what there is will do. */
  double lacking() {
    double most = 0;
    for (Due due : dues) {
      most = Math.max(most, (due.sum - capacity * due.within) / (due.within - due.ready));
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
