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
 * The sort keys of the scheduling queue: jobs within their team's guarantee first, then by the time
 * at which they must have started to meet their service-level objective.
 */
final class ObjectiveOrdering implements SchedulingQueue.Ordering {
  /**
   * A job none of whose tasks has started is due by then, counted from when it could start: the
   * largest jobs, and those whose objectives are missed, must begin within four minutes too.
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

  /** How long after its acceptance the job is due to start, as far as its order is concerned. */
  Duration startAllowance(Job job) {
    // A failing job delays no other.
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
   * For how long the job's remaining tasks would take up its team's limit: of jobs that compete for
   * one limit the small ones go first, since then fewer of them are late.
   */
  private Duration teamLimitOccupancy(Job job) {
    JobSpec spec = job.spec;
    Team team = cluster.team(spec.team());
    if (spec.kind() != JobKind.ARRAY || team == null) {
      return Duration.ZERO;
    }
    double share =
        spec.resourcesPerTask().times(spec.tasks() - job.completedTasks.cardinality()).dominantShareOf(team.limit());
    return Duration.ofMillis((long) (spec.estimatedRunTime().toMillis() * share));
  }
}
