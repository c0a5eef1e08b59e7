package io.pineladder.model;

/** Why a task ended. */
public enum Cause {
  DONE,
  STOPPED,
  PEERS,
  INCOMPLETE,
  ERROR,
  NO_ROOM,
  BUSY,
  UNKNOWN_JOB
}
