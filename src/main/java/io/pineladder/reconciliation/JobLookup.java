package io.pineladder.reconciliation;

import io.pineladder.model.Job;

/** The result of a lookup of a job in memory and in the store. */
public sealed interface JobLookup {
  /** Cannot be determined at present; the lookup is to be retried. */
  JobLookup UNCERTAIN = new Uncertain();

  /** The job was never accepted. */
  JobLookup NOT_FOUND = new NotFound();

  /** The job is in memory; the lookup may have added it from the store. */
  record Found(Job job) implements JobLookup {}

  /** The job is not in memory and has this final state. */
  record Ended(Job.State finalState) implements JobLookup {}

  /** See {@link #NOT_FOUND}. */
  record NotFound() implements JobLookup {}

  /** See {@link #UNCERTAIN}. */
  record Uncertain() implements JobLookup {}
}
