package io.pineladder.reconciliation;

import io.pineladder.model.Job;

/** What a lookup of a job in memory and in the store has shown. */
public sealed interface JobLookup {
  /** Nothing certain can be said now; to be tried again later. */
  JobLookup UNCERTAIN = new Uncertain();

  /** The job was never accepted. */
  JobLookup NOT_FOUND = new NotFound();

  /** The job is in memory, possibly just restored from the store. */
  record Found(Job job) implements JobLookup {}

  /** The job is not in memory and has this final state. */
  record Ended(Job.State finalState) implements JobLookup {}

  /** See {@link #NOT_FOUND}. */
  record NotFound() implements JobLookup {}

  /** See {@link #UNCERTAIN}. */
  record Uncertain() implements JobLookup {}
}
