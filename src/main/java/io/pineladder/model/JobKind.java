package io.pineladder.model;

/** How a job's tasks belong together. */
public enum JobKind {
  ARRAY,
  GANG,
  SERVICE
}
