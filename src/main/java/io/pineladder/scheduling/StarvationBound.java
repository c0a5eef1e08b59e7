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
 * Bounds how long policy alone may deny a job capacity. Policy comprises everything that leaves
 * capacity idle without being a constraint in the job specification: retiring and quarantined
 * machines, reservations for other jobs, avoided machines, machines provisioned for deadlines, and
 * waits for a cached image. A job that policy alone has denied capacity for {@link
 * #MAX_POLICY_DELAY} is placed by its own constraints only. Waiting for capacity that does not
 * exist, or for the team's limit, does not count.
 *
 * <p>Without the bound, a gang could wait indefinitely while reservations for other jobs are
 * renewed on the machines that it needs, and a job could avoid all machines that it may use. The
 * simulation found both: a gang of three, and a job that had failed by chance on the only two.
 */
final class StarvationBound {
  /**
   * The service guarantees that no job waits 90 s while a suitable machine has free capacity. The
   * remaining time is for detection ({@link PendingJobs#UNSCHEDULABLE_RETRY_DELAY}) and for the
   * start command to reach the machine.
   */
  static final Duration MAX_POLICY_DELAY = Duration.ofSeconds(55);

  /**
   * The maximum gap without capacity that does not end a withheld period: heartbeats lag, and
   * capacity is taken on one machine while it is freed on another.
   */
  private static final Duration CAPACITY_GAP_TOLERANCE = Duration.ofSeconds(12);

  /** The minimum interval between policy reviews of a job. */
  private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(3);

  private static final Logger log = LoggerFactory.getLogger(StarvationBound.class);

  private final ClusterState cluster;
  private final Placer placer;

  /**
   * The period in which policy alone denies a job capacity.
   *
   * @param since the start of the period
   * @param lastCapacityAt when such capacity was last found
   */
  private record WithheldPeriod(Instant since, Instant lastCapacityAt) {}

  private final Map<Job, WithheldPeriod> withheldByJob = new LinkedHashMap<>();

  StarvationBound(ClusterState cluster, Placer placer) {
    this.cluster = cluster;
    this.placer = placer;
  }

  /** The jobs that are currently denied capacity by policy alone. */
  List<Job> withheldJobs() {
    return List.copyOf(withheldByJob.keySet());
  }

  /** Records that there is capacity for the job but policy denies it. */
  void recordWithheld(Job job, Instant now) {
    withheldByJob.merge(
        job,
        new WithheldPeriod(now, now),
        (earlier, current) -> new WithheldPeriod(earlier.since, now));
  }

  /** Whether policy has denied the job capacity for longer than allowed. */
  boolean isExceeded(Job job, Instant now) {
    WithheldPeriod period = withheldByJob.get(job);
    return period != null && period.since.plus(MAX_POLICY_DELAY).isBefore(now);
  }

  /**
   * Ends the withheld period of a job that was placed, ended, or is denied capacity for other
   * reasons.
   */
  void clear(Job job) {
    withheldByJob.remove(job);
  }

  /**
   * Reviews a rejection.
   *
   * @param rejected the decision by all checks, including policy
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
