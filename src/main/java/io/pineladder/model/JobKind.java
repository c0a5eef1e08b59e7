package io.pineladder.model;

/** How a job's tasks depend on each other. */
public enum JobKind {
  /** Tasks that are independent of each other (a job array). */
  ARRAY,
  /** Tasks that run together or not at all (gang scheduling). */
  GANG,
  /** Tasks that run until they are cancelled. */
  SERVICE
}
