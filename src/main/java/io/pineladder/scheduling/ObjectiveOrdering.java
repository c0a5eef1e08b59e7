package io.pineladder.scheduling;

import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Team;
import io.pineladder.net.EventLoop;
import io.pineladder.queue.QueueEntry;
import io.pineladder.queue.SchedulingQueue;
import java.time.Duration;
import java.time.Instant;

/**
 * Computes the sort keys of the scheduling queue: jobs within the guaranteed quota of their team
 * first, then by the time at which a job must start to meet its service-level objective.
 */
final class ObjectiveOrdering implements SchedulingQueue.Ordering {
  /**
   * The maximum start allowance of a job without started tasks, counted from when the job may
   * start. Ensures that large jobs and jobs that missed their objectives also start within four
   * minutes.
   */
  private static final Duration MAX_START_DELAY = Duration.ofSeconds(200);

  private final ClusterState cluster;
  private final EventLoop eventLoop;

  ObjectiveOrdering(ClusterState cluster, EventLoop eventLoop) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
  }

  @Override
  public boolean isGuaranteed(QueueEntry entry) {
    return cluster.isGuaranteed(entry.job);
  }

  @Override
  public Instant dueAt(QueueEntry entry) {
    return entry.job.acceptedAt.plus(startAllowance(entry.job));
  }

  /** How long after its acceptance the job is due to start, for ordering in the queue. */
  Duration startAllowance(Job job) {
    // A failing job must not delay other jobs.
    Duration allowance =
        job.failing
            ? ServiceObjectives.DEFAULT_START_ALLOWANCE
            : cluster.objectives().startAllowance(job, eventLoop.wallClock());
    Duration withOccupancy = allowance.plus(teamLimitOccupancy(job));
    boolean anyTaskStarted = job.attempts.size() + job.completedTasks.cardinality() > 0;
    Duration latest = MAX_START_DELAY.plus(ServiceObjectives.dependencyWait(job));
    return anyTaskStarted || job.failing || withOccupancy.compareTo(latest) < 0
        ? withOccupancy
        : latest;
  }

  /**
   * How long the remaining tasks of the job would occupy the resource limit of its team. Among jobs
   * that compete for the same limit, small jobs go first so that fewer jobs are late.
   */
  private Duration teamLimitOccupancy(Job job) {
    JobSpec spec = job.spec;
    Team team = cluster.team(spec.team());
    if (spec.kind() != JobKind.ARRAY || team == null) {
      return Duration.ZERO;
    }
    double share =
        spec.resourcesPerTask()
            .times(spec.tasks() - job.completedTasks.cardinality())
            .dominantShareOf(team.limit());
    return Duration.ofMillis((long) (spec.estimatedRunTime().toMillis() * share));
  }
}
