package io.pineladder.model;

/** Job priorities, the highest first. */
public enum PriorityClass {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW;

  public boolean isAbove(PriorityClass other) {
    return ordinal() < other.ordinal();
  }
}
