package io.pineladder.reconciliation;

import io.pineladder.model.Job;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.JobDependencies;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the jobs that others need, in the leader's memory or by reads that begin after the
 * question.
 */
public final class PrerequisiteReader {
  private static final Logger log = LoggerFactory.getLogger(PrerequisiteReader.class);

  /** Between two reads of which the first gave no certain answer. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Between two looks for a job that was accepted and that no record tells of. */
  private static final Duration MISSING_JOB_RETRY_DELAY = Duration.ofSeconds(5);

  /** What is known of the jobs that a submission names. */
  public enum Verification {
    /** Each was accepted. */
    ALL_ACCEPTED,
    /** One was never accepted. */
    NOT_ALL_ACCEPTED,
    /** Nothing certain can be said now. */
    UNCERTAIN
  }

  private final Function<String, Job> jobs;

  /** A final state that is known without a read, or null. */
  private final Function<String, Job.State> finalStates;

  private final JobReconciler reconciler;
  private final EventLoop eventLoop;
  private final BooleanSupplier isLeading;
  private final Supplier<JobDependencies> dependencies;

  /**
   * Lookups of one term.
   *
   * @param jobs the jobs in memory, by id
   * @param ended final states that are known without a read; null for unknown
   */
  public PrerequisiteReader(
      Function<String, Job> jobs,
      Function<String, Job.State> finalStates,
      JobReconciler reconciler,
      EventLoop eventLoop,
      BooleanSupplier isLeading,
      Supplier<JobDependencies> dependencies) {
    this.jobs = jobs;
    this.finalStates = finalStates;
    this.reconciler = reconciler;
    this.eventLoop = eventLoop;
    this.isLeading = isLeading;
    this.dependencies = dependencies;
  }

  /** Tells whether all these jobs were accepted. */
  public void verify(List<String> ids, Consumer<Verification> onDone) {
    verifyNext(new ArrayDeque<>(ids), onDone);
  }

  private void verifyNext(Deque<String> remainingIds, Consumer<Verification> onDone) {
    while (!remainingIds.isEmpty() && isKnown(remainingIds.peek())) {
      remainingIds.poll();
    }
    if (remainingIds.isEmpty()) {
      onDone.accept(Verification.ALL_ACCEPTED);
      return;
    }
    reconciler.lookUp(
        remainingIds.poll(),
        lookup -> {
          if (lookup == null) {
            onDone.accept(Verification.UNCERTAIN);
          } else if (lookup.job() == null && lookup.finalState() == null) {
            onDone.accept(Verification.NOT_ALL_ACCEPTED);
          } else {
            verifyNext(remainingIds, onDone);
          }
        });
  }

  private boolean isKnown(String id) {
    return jobs.apply(id) != null || finalStates.apply(id) != null;
  }

  /**
   * Tells the dependencies of a job that others need, once the present event has been dealt with.
   */
  public void lookUp(String id) {
    eventLoop.schedule(Duration.ZERO, () -> resolve(id));
  }

  private void resolve(String id) {
    if (!isLeading.getAsBoolean()) {
      return;
    }
    Job.State state = jobs.apply(id) == null ? finalStates.apply(id) : null;
    if (state != null) {
      dependencies.get().onFinalStateKnown(id, state);
      return;
    }
    reconciler.lookUp(
        id,
        lookup -> {
          if (!isLeading.getAsBoolean()) {
            return;
          }
          if (lookup == null) {
            eventLoop.schedule(RETRY_DELAY, () -> resolve(id));
          } else if (lookup.job() != null) {
            dependencies.get().onPrerequisiteFound(lookup.job());
          } else if (lookup.finalState() != null) {
            dependencies.get().onFinalStateKnown(id, lookup.finalState());
          } else {
            log.error("job {}, which others need, is not in the records", id);
            dependencies.get().onPrerequisiteNotFound(id);
            eventLoop.schedule(MISSING_JOB_RETRY_DELAY, () -> resolve(id));
          }
        });
  }
}
