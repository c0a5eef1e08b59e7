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
  private static final Duration RETRY = Duration.ofMillis(250);

  /** Between two looks for a job that was accepted and that no record tells of. */
  private static final Duration MISSING = Duration.ofSeconds(5);

  /** What is known of the jobs that a submission names. */
  public enum Known {
    /** Each was accepted. */
    ALL,
    /** One was never accepted. */
    NOT_ALL,
    /** Nothing certain can be said now. */
    UNCERTAIN
  }

  private final Function<String, Job> jobs;

  /** A final state that is known without a read, or null. */
  private final Function<String, Job.State> ended;

  private final JobReconciler adoption;
  private final EventLoop eventLoop;
  private final BooleanSupplier leading;
  private final Supplier<JobDependencies> dependencies;

  /**
   * Lookups of one term.
   *
   * @param jobs the jobs in memory, by id
   * @param ended final states that are known without a read; null for unknown
   */
  public PrerequisiteReader(
      Function<String, Job> jobs,
      Function<String, Job.State> ended,
      JobReconciler adoption,
      EventLoop eventLoop,
      BooleanSupplier leading,
      Supplier<JobDependencies> dependencies) {
    this.jobs = jobs;
    this.ended = ended;
    this.adoption = adoption;
    this.eventLoop = eventLoop;
    this.leading = leading;
    this.dependencies = dependencies;
  }

  /** Tells whether all these jobs were accepted. */
  public void verify(List<String> ids, Consumer<Known> onDone) {
    verifyNext(new ArrayDeque<>(ids), onDone);
  }

  private void verifyNext(Deque<String> left, Consumer<Known> onDone) {
    while (!left.isEmpty() && isKnown(left.peek())) {
      left.poll();
    }
    if (left.isEmpty()) {
      onDone.accept(Known.ALL);
      return;
    }
    adoption.adopt(
        left.poll(),
        lookup -> {
          if (lookup == null) {
            onDone.accept(Known.UNCERTAIN);
          } else if (lookup.job() == null && lookup.ended() == null) {
            onDone.accept(Known.NOT_ALL);
          } else {
            verifyNext(left, onDone);
          }
        });
  }

  private boolean isKnown(String id) {
    return jobs.apply(id) != null || ended.apply(id) != null;
  }

  /**
   * Tells the dependencies of a job that others need, once the present event has been dealt with.
   */
  public void lookUp(String id) {
    eventLoop.schedule(Duration.ZERO, () -> resolve(id));
  }

  private void resolve(String id) {
    if (!leading.getAsBoolean()) {
      return;
    }
    Job.State state = jobs.apply(id) == null ? ended.apply(id) : null;
    if (state != null) {
      dependencies.get().onFinalStateKnown(id, state);
      return;
    }
    adoption.adopt(
        id,
        lookup -> {
          if (!leading.getAsBoolean()) {
            return;
          }
          if (lookup == null) {
            eventLoop.schedule(RETRY, () -> resolve(id));
          } else if (lookup.job() != null) {
            dependencies.get().onPrerequisiteFound(lookup.job());
          } else if (lookup.ended() != null) {
            dependencies.get().onFinalStateKnown(id, lookup.ended());
          } else {
            log.error("job {}, which others need, is not in the records", id);
            dependencies.get().onPrerequisiteNotFound(id);
            eventLoop.schedule(MISSING, () -> resolve(id));
          }
        });
  }
}
