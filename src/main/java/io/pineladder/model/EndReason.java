package io.pineladder.model;

/** Why an attempt ended. */
public enum EndReason {
  /** The task is complete. */
  DONE,
  /** It was killed. */
  STOPPED,
  /** Another task of its gang ended. */
  GANG_PEER_ENDED,
  /** Its gang was not complete in time. */
  GANG_INCOMPLETE,
  /** The task failed. */
  ERROR,
  /** The machine refused it for lack of capacity. */
  NO_CAPACITY,
  /** The machine refused it as busy. */
  MACHINE_BUSY,
  /** The machine knows nothing of the job. */
  UNKNOWN_JOB
}
