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
 * Looks up the jobs on which others depend (DAG dependencies), in the leader's memory or by reads
 * of the store that begin after the request. Event thread only.
 */
public final class PrerequisiteReader {
  private static final Logger log = LoggerFactory.getLogger(PrerequisiteReader.class);

  /** Delay before an uncertain lookup is retried. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Delay before the lookup of an accepted job without any record is retried. */
  private static final Duration MISSING_JOB_RETRY_DELAY = Duration.ofSeconds(5);

  /** Whether the prerequisites of a submission were accepted. */
  public enum Verification {
    /** All were accepted. */
    ALL_ACCEPTED,
    /** At least one was never accepted. */
    NOT_ALL_ACCEPTED,
    /** Cannot be determined at present; the client must retry the submission. */
    UNCERTAIN
  }

  private final Function<String, Job> jobs;

  /** Final states that are known without a read; null for an unknown one. */
  private final Function<String, Job.State> finalStates;

  private final JobReconciler reconciler;
  private final EventLoop eventLoop;
  private final BooleanSupplier isLeading;
  private final Supplier<JobDependencies> dependencies;

  /**
   * Creates the reader of one term.
   *
   * @param jobs the jobs in memory, by id
   * @param finalStates final states that are known without a read; null for an unknown one
   * @param isLeading whether the term continues; lookups end otherwise
   * @param dependencies the dependencies of the term's jobs
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

  /** Verifies sequentially that all these jobs were accepted. */
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
          if (lookup instanceof JobLookup.Uncertain) {
            onDone.accept(Verification.UNCERTAIN);
          } else if (lookup instanceof JobLookup.NotFound) {
            onDone.accept(Verification.NOT_ALL_ACCEPTED);
          } else {
            verifyNext(remainingIds, onDone);
          }
        });
  }

  private boolean isKnown(String id) {
    return jobs.apply(id) != null || finalStates.apply(id) != null;
  }

  /** Looks up a prerequisite after the current event and passes the result to the dependencies. */
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
          if (lookup instanceof JobLookup.Uncertain) {
            eventLoop.schedule(RETRY_DELAY, () -> resolve(id));
          } else if (lookup instanceof JobLookup.Found found) {
            dependencies.get().onPrerequisiteFound(found.job());
          } else if (lookup instanceof JobLookup.Ended ended) {
            dependencies.get().onFinalStateKnown(id, ended.finalState());
          } else {
            log.error("Prerequisite without a record: job={}", id);
            dependencies.get().onPrerequisiteNotFound(id);
            eventLoop.schedule(MISSING_JOB_RETRY_DELAY, () -> resolve(id));
          }
        });
  }
}
