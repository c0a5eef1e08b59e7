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
 * Policy may delay a job, not starve it. Machines that are spared or under suspicion, room reserved
 * for others, machines that a job failed on, dear machines kept from long tasks, room where an
 * image is: each leaves room unused for a good reason, and none of them is a rule. What a job could
 * have had but for them for {@link #MAX_POLICY_DELAY} it gets: from then on it meets only the
 * checks that the rules need. A wait for room that is not there, or for the team's limit, does not
 * count.
 *
 * <p>Found by the simulation as a gang of three that waited for as long as others' room was
 * reserved anew on the machines that it needed, and as a job that kept off the only two machines,
 * on which it had failed by chance.
 */
final class StarvationBound {
  /**
   * Users are promised that no job waits for 90 s while a machine that fits has room. What is left
   * of those is for finding out that it does ({@link Scheduler#UNSCHEDULABLE_RETRY_DELAY}) and for
   * the order to get there.
   */
  static final Duration MAX_POLICY_DELAY = Duration.ofSeconds(55);

  /**
   * Room that policy keeps from a job may seem gone for so long and be the same: reports lag, and
   * what one machine has taken another has left.
   */
  private static final Duration CAPACITY_GAP_TOLERANCE = Duration.ofSeconds(12);

  /** Between two looks at what policy keeps from one job. */
  private static final Duration REVIEW_INTERVAL = Duration.ofSeconds(3);

  private static final Logger log = LoggerFactory.getLogger(StarvationBound.class);

  private final ClusterState cluster;
  private final Placer placer;

  /**
   * Since when policy keeps a job from room that it could have, and when there was such room last.
   */
  private record WithheldPeriod(Instant since, Instant lastCapacityAt) {}

  private final Map<Job, WithheldPeriod> withheldByJob = new LinkedHashMap<>();

  StarvationBound(ClusterState cluster, Placer placer) {
    this.cluster = cluster;
    this.placer = placer;
  }

  /** Jobs that policy keeps from room now. */
  List<Job> withheldJobs() {
    return List.copyOf(withheldByJob.keySet());
  }

  /** Room is there, and the job does not get it. */
  void recordWithheld(Job job, Instant now) {
    withheldByJob.merge(
        job, new WithheldPeriod(now, now), (first, again) -> new WithheldPeriod(first.since, now));
  }

  /** Whether policy has kept the job from room for as long as it may. */
  boolean isExceeded(Job job, Instant now) {
    WithheldPeriod period = withheldByJob.get(job);
    return period != null && period.since.plus(MAX_POLICY_DELAY).isBefore(now);
  }

  /** Some of the job was placed, or is not wanted any more. */
  void clear(Job job) {
    withheldByJob.remove(job);
  }

  /**
   * What becomes of a job that was turned away: the same, or a place that only policy kept from it
   * for long.
   *
   * @param rejected what the checks with all policy said
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
    log.info("{} has waited for {} where only policy kept it from room", job, MAX_POLICY_DELAY);
    return withoutPolicy;
  }
}
