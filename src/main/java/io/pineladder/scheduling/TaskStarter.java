package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the attempts of this term and has their placements stored. Attempt numbers begin with the
 * term, so no other leader uses them.
 */
final class TaskStarter {
  private static final Logger log = LoggerFactory.getLogger(TaskStarter.class);

  /** The low bits of an attempt number, which count the attempts of its term. */
  private static final int ATTEMPT_NUMBER_BITS = 20;

  private final SchedulerContext context;
  private final StarvationBound starvationBound;
  private final long term;
  private long attemptsNumbered;

  TaskStarter(SchedulerContext context, StarvationBound starvationBound, long term) {
    this.context = context;
    this.starvationBound = starvationBound;
    this.term = term;
  }

  /** A new attempt number; the leader resigns when the term has none left. */
  long nextAttemptNumber() {
    if (++attemptsNumbered >= 1L << ATTEMPT_NUMBER_BITS) {
      context.callbacks.resign("the term's attempt numbers are used up");
    }
    return (term << ATTEMPT_NUMBER_BITS) + attemptsNumbered;
  }

  /** Starts a task on the machine as soon as its placement is stored. */
  void start(Job job, int task, long number, Machine machine, Instant now) {
    if (machine.reservedFor() == job) {
      context.cluster.unreserve(machine);
    }
    job.pendingTasks.clear(task);
    starvationBound.clear(job);
    double fetchSeconds = Placer.fetchSeconds(job, machine);
    log.debug(
        "Task placed: job={} task={} machine={} fetchSeconds={}", job, task, machine, fetchSeconds);
    Attempt attempt =
        context.cluster.addAttempt(
            job, task, number, machine, now, Attempt.State.PLACEMENT_PENDING);
    attempt.imageReadyAt = now.plusMillis((long) (fetchSeconds * 1000));
    context.records().storePlacement(attempt);
  }
}
