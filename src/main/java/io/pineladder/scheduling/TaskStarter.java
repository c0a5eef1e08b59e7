package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.AttemptNumbers;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates the attempts of this term and stores their placements. Attempt numbers begin with the
 * term, so no other leader uses them.
 */
final class TaskStarter {
  private static final Logger log = LoggerFactory.getLogger(TaskStarter.class);

  private final SchedulerContext context;
  private final StarvationBound starvationBound;
  private final long term;
  private long attemptCount;

  TaskStarter(SchedulerContext context, StarvationBound starvationBound, long term) {
    this.context = context;
    this.starvationBound = starvationBound;
    this.term = term;
  }

  /** Returns a new attempt number; the leader resigns if the term has none left. */
  long nextAttemptNumber() {
    attemptCount++;
    if (!AttemptNumbers.isCountValid(attemptCount)) {
      context.callbacks.resign("the attempt numbers of the term are exhausted");
    }
    return AttemptNumbers.of(term, attemptCount);
  }

  /** Creates an attempt of the task on the machine; it is started once its placement is stored. */
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
