package io.pineladder.model;

/** Why a task ended. */
public enum EndReason {
  DONE,
  STOPPED,
  GANG_PEER_ENDED,
  GANG_INCOMPLETE,
  ERROR,
  NO_CAPACITY,
  MACHINE_BUSY,
  UNKNOWN_JOB
}
