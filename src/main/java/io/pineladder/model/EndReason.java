package io.pineladder.model;

/** Why an attempt ended. */
public enum EndReason {
  /** The task is complete. */
  DONE,
  /** It was killed. */
  STOPPED,
  /** Another task of its gang ended. */
  GANG_PEER_ENDED,
  /** Not all tasks of its gang were ready in time. */
  GANG_INCOMPLETE,
  /** The task failed. */
  ERROR,
  /** The machine rejected it for lack of capacity. */
  NO_CAPACITY,
  /** The machine rejected it because it was busy. */
  MACHINE_BUSY,
  /** The machine does not know the job. */
  UNKNOWN_JOB
}
