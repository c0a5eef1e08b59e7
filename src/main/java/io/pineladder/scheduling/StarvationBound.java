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
 * have had but for them for {@link #MOST} it gets: from then on it meets only the checks that the
 * rules need. A wait for room that is not there, or for the team's limit, does not count.
 *
 * <p>Found by the simulation as a gang of three that waited for as long as others' room was
 * reserved anew on the machines that it needed, and as a job that kept off the only two machines,
 * on which it had failed by chance.
 */
final class StarvationBound {
  /**
   * Users are promised that no job waits for 90 s while a machine that fits has room. What is left
   * of those is for finding out that it does ({@link Scheduler#LEFTOVER}) and for the order to get
   * there.
   */
  static final Duration MOST = Duration.ofSeconds(55);

  /**
   * Room that policy keeps from a job may seem gone for so long and be the same: reports lag, and
   * what one machine has taken another has left.
   */
  private static final Duration LAPSE = Duration.ofSeconds(12);

  /** Between two looks at what policy keeps from one job. */
  private static final Duration LOOK_AGAIN = Duration.ofSeconds(3);

  private static final Logger log = LoggerFactory.getLogger(StarvationBound.class);

  private final ClusterState cluster;
  private final Placer placer;

  /**
   * Since when policy keeps a job from room that it could have, and when there was such room last.
   */
  private record Withheld(Instant since, Instant seen) {}

  private final Map<Job, Withheld> withheld = new LinkedHashMap<>();

  StarvationBound(ClusterState cluster, Placer placer) {
    this.cluster = cluster;
    this.placer = placer;
  }

  /** Jobs that policy keeps from room now. */
  List<Job> withheld() {
    return List.copyOf(withheld.keySet());
  }

  /** Room is there, and the job does not get it. */
  void withholds(Job job, Instant now) {
    withheld.merge(job, new Withheld(now, now), (first, again) -> new Withheld(first.since, now));
  }

  /** Whether policy has kept the job from room for as long as it may. */
  boolean isOver(Job job, Instant now) {
    Withheld of = withheld.get(job);
    return of != null && of.since.plus(MOST).isBefore(now);
  }

  /** Some of the job was placed, or is not wanted any more. */
  void moved(Job job) {
    withheld.remove(job);
  }

  /**
   * What becomes of a job that was turned away: the same, or a place that only policy kept from it
   * for long.
   *
   * @param rejected what the checks with all policy said
   */
  Placer.Decision review(Job job, int wanted, Placer.Decision rejected, Instant now) {
    boolean room =
        switch (rejected.rejectedBy()) {
          case FIT, PLACE, SPREAD, TOGETHER -> rejected.machines().isEmpty();
          default -> false;
        };
    if (!room || !cluster.isWithheldByPolicy(job)) {
      moved(job);
      return rejected;
    }
    if (job.policyReviewedAt != null && job.policyReviewedAt.plus(LOOK_AGAIN).isAfter(now)) {
      return rejected;
    }
    job.policyReviewedAt = now;
    Placer.Decision byRules = placer.placeByRules(job, wanted, now);
    if (byRules.machines().isEmpty()) {
      Withheld of = withheld.get(job);
      if (of != null && of.seen.plus(LAPSE).isBefore(now)) {
        moved(job);
      }
      return rejected;
    }
    withholds(job, now);
    if (!isOver(job, now)) {
      return rejected;
    }
    log.info("{} has waited for {} where only policy kept it from room", job, MOST);
    return byRules;
  }
}
