package io.pineladder.model;

/** The kinds of jobs, by how their tasks are scheduled. */
public enum JobKind {
  /** A job array: tasks are independent of each other. */
  ARRAY,
  /** A gang: all tasks run at the same time or none does. */
  GANG,
  /** A service: tasks run until the job is cancelled. */
  SERVICE
}
