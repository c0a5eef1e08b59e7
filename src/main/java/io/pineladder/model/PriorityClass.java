package io.pineladder.model;

/** The priority classes of jobs, from highest to lowest. */
public enum PriorityClass {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW;

  /** Whether this class has a higher priority than the other. */
  public boolean isAbove(PriorityClass other) {
    return ordinal() < other.ordinal();
  }
}
