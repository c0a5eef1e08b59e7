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
 * Restarts single tasks of a gang that is not running yet. If a running gang loses a task, the
 * whole gang is stopped and restarted.
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
   * Whether the gang is not running yet and its other tasks are still waiting or fetching images.
   * Then the lost task can be restarted under the same attempt number, and the others need not
   * fetch their images again. This includes a task that timed out waiting for its gang, which is no
   * reason to stop the fetches of the others.
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
   * Restarts a lost task of a starting gang. A machine that still lists the attempt is not used,
   * because it ignores the start of an attempt that it already knows.
   *
   * @return whether the task was restarted
   */
  boolean restartTask(Attempt lost) {
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
    log.debug("Gang task restarted: attempt={} machine={}", lost, machine);
    taskStarter.start(job, lost.task, lost.number, machine, now);
    return true;
  }

  /**
   * Reserves the machine of a task that timed out waiting for its gang, until the machine no longer
   * lists the attempt and can start it again.
   *
   * @return whether the attempt ended for that reason
   */
  boolean reserveForRestart(Attempt lost) {
    if (lost.endReason != EndReason.GANG_INCOMPLETE) {
      return false;
    }
    context.cluster.reserve(
        lost.machine, lost.job, context.now().plus(PreemptionPolicy.RESERVATION_DURATION));
    return true;
  }
}
