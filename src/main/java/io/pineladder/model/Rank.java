package io.pineladder.model;

/** Job priorities, the highest first. */
public enum Rank {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW;

  public boolean isAbove(Rank other) {
    return ordinal() < other.ordinal();
  }
}
