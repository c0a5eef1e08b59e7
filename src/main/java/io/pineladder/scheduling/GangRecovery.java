package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.EndReason;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import java.time.Instant;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Replaces single tasks of a gang that has not begun to run. A gang that runs and loses a task is
 * stopped and started again as a whole.
 */
final class GangRecovery {
  private static final Logger log = LoggerFactory.getLogger(GangRecovery.class);

  private final SchedulerContext context;
  private final Placer placer;
  private final TaskStarter taskStarter;

  GangRecovery(SchedulerContext context, Placer placer, TaskStarter taskStarter) {
    this.context = context;
    this.placer = placer;
    this.taskStarter = taskStarter;
  }

  /**
   * Whether the gang has not begun yet and its other tasks still wait or fetch, so that one lost
   * task can be started anew under the same attempt number and the others need not fetch again.
   * That one task waited in vain for the others is no reason to stop their fetches.
   */
  boolean isGangStillStarting(Attempt lost) {
    Job job = lost.job;
    if (!lost.isWanted()
        || lost.endReason == EndReason.GANG_PEER_ENDED
        || lost.runningSince != null) {
      return false;
    }
    for (Set<Attempt> attempts : job.attempts.values()) {
      for (Attempt other : attempts) {
        boolean isStarting =
            switch (other.state()) {
              case PLACEMENT_PENDING, PLACEMENT_STORED, FETCHING_IMAGE, WAITING_FOR_GANG -> true;
              default -> false;
            };
        if (!isStarting || !other.isWanted() || other.number != lost.number) {
          return false;
        }
      }
    }
    return !job.attempts.isEmpty();
  }

  /**
   * Starts a lost task of a starting gang anew. Not on a machine that still lists the attempt: a
   * start of an attempt that it knows already has no effect there.
   *
   * @return whether it was started
   */
  boolean replace(Attempt lost) {
    Job job = lost.job;
    Instant now = context.now();
    Placer.Decision decision = placer.place(job, 1, now);
    if (!decision.isPlaced()) {
      return false;
    }
    Machine machine = decision.machines().get(0);
    String key = Machine.attemptKey(job.spec.id(), lost.task, lost.number);
    if (machine.attempts.containsKey(key) || !context.callbacks.mayStartTasks()) {
      return false;
    }
    log.debug("Gang task replaced: attempt={} machine={}", lost, machine);
    taskStarter.start(job, lost.task, lost.number, machine, now);
    return true;
  }

  /**
   * Reserves the machine of a task that waited in vain for its gang, until the machine has
   * forgotten the attempt and can start it again.
   *
   * @return whether the attempt ended for that reason
   */
  boolean reserveUntilForgotten(Attempt lost) {
    if (lost.endReason != EndReason.GANG_INCOMPLETE) {
      return false;
    }
    context.cluster.reserve(
        lost.machine, lost.job, context.now().plus(PreemptionPolicy.RESERVATION_DURATION));
    return true;
  }
}
