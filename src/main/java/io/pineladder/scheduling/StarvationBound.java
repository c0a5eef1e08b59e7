package io.pineladder.scheduling;

import io.pineladder.model.Job;
import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Limits for how long policy alone may deny a job capacity. Retiring and quarantined machines,
 * reservations for other jobs, avoided machines, machines rented for deadlines, waits for a cached
 * image: each leaves capacity idle for a good reason, and none of them is a constraint that a user
 * set. A job that could have been placed but for them for {@link #MAX_POLICY_DELAY} is placed by
 * its own constraints only. A wait for capacity that does not exist, or for the team's limit, does
 * not count.
 *
 * <p>Found by the simulation as a gang of three that waited for as long as reservations for others
 * were renewed on the machines that it needed, and as a job that avoided the only two machines, on
 * which it had failed by chance.
 */
final class StarvationBound {
  /**
   * Users are promised that no job waits for 90 s while a machine that fits has capacity. The rest
   * of those is for detecting it ({@link PendingJobs#UNSCHEDULABLE_RETRY_DELAY}) and for the start
   * to reach the machine.
   */
  static final Duration MAX_POLICY_DELAY = Duration.ofSeconds(55);

  /**
   * A wait goes on if capacity denied by policy is gone for no longer than this: heartbeats lag,
   * and what is taken on one machine is freed on another.
   */
  private static final Duration CAPACITY_GAP_TOLERANCE = Duration.ofSeconds(12);

  /** Between two reviews of what policy denies one job. */
  private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(3);

  private static final Logger log = LoggerFactory.getLogger(StarvationBound.class);

  private final ClusterState cluster;
  private final Placer placer;

  /**
   * A job that policy alone denies capacity.
   *
   * @param since when that began
   * @param lastCapacityAt when there was such capacity last
   */
  private record WithheldPeriod(Instant since, Instant lastCapacityAt) {}

  private final Map<Job, WithheldPeriod> withheldByJob = new LinkedHashMap<>();

  StarvationBound(ClusterState cluster, Placer placer) {
    this.cluster = cluster;
    this.placer = placer;
  }

  /** Jobs that policy alone denies capacity now. */
  List<Job> withheldJobs() {
    return List.copyOf(withheldByJob.keySet());
  }

  /** There is capacity for the job, and policy denies it. */
  void recordWithheld(Job job, Instant now) {
    withheldByJob.merge(
        job, new WithheldPeriod(now, now), (first, again) -> new WithheldPeriod(first.since, now));
  }

  /** Whether policy has denied the job capacity for longer than it may. */
  boolean isExceeded(Job job, Instant now) {
    WithheldPeriod period = withheldByJob.get(job);
    return period != null && period.since.plus(MAX_POLICY_DELAY).isBefore(now);
  }

  /** A task of the job was placed, or the job is over. */
  void clear(Job job) {
    withheldByJob.remove(job);
  }

  /**
   * Reviews a rejection.
   *
   * @param rejected the decision of all checks, policy included
   * @return the same decision, or a placement that policy alone has denied for too long
   */
  Placer.Decision reviewRejection(Job job, int taskCount, Placer.Decision rejected, Instant now) {
    boolean lacksCapacity =
        switch (rejected.rejectedBy()) {
          case FIT, PLACE, SPREAD, TOGETHER -> rejected.machines().isEmpty();
          default -> false;
        };
    if (!lacksCapacity || !cluster.isWithheldByPolicy(job)) {
      clear(job);
      return rejected;
    }
    if (job.policyReviewedAt != null && job.policyReviewedAt.plus(REVIEW_INTERVAL).isAfter(now)) {
      return rejected;
    }
    job.policyReviewedAt = now;
    Placer.Decision withoutPolicy = placer.placeIgnoringPolicy(job, taskCount, now);
    if (withoutPolicy.machines().isEmpty()) {
      WithheldPeriod period = withheldByJob.get(job);
      if (period != null && period.lastCapacityAt.plus(CAPACITY_GAP_TOLERANCE).isBefore(now)) {
        clear(job);
      }
      return rejected;
    }
    recordWithheld(job, now);
    if (!isExceeded(job, now)) {
      return rejected;
    }
    log.info(
        "Starvation bound exceeded, placing without policy: job={} bound={}",
        job,
        MAX_POLICY_DELAY);
    return withoutPolicy;
  }
}
