package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobKind;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;
import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes room where there is none, or where it would come too late: work of less weight makes way.
 */
final class PreemptionPolicy {
  private static final Logger log = LoggerFactory.getLogger(PreemptionPolicy.class);

  /** A fetch that takes longer yet is worth a new start where the image is. */
  private static final Duration WORTH_MOVING = Duration.ofSeconds(6);

  /**
   * Tasks that fetch one image of which the last ones are looked at for one machine at the most.
   */
  private static final int MOST_LOOKED = 64;

  /** Room that others made way for is kept so long. */
  static final Duration RESERVATION = Duration.ofSeconds(20);

  /** The part of the time that looks at the whole fleet for work to displace may take. */
  private static final int LOOKS_PART = 5;

  private final ClusterState cluster;
  private final EventLoop eventLoop;
  private final VictimSelector preemptor;
  private final Consumer<Attempt> displace;

  /** When the fleet may next be looked over for work to displace. */
  private Instant looksFrom = Instant.MIN;

  /**
   * A maker of room.
   *
   * @param displace stops an attempt to free its room
   */
  PreemptionPolicy(ClusterState cluster, EventLoop eventLoop, Consumer<Attempt> displace) {
    this.cluster = cluster;
    this.eventLoop = eventLoop;
    this.preemptor = new VictimSelector(cluster, eventLoop);
    this.displace = displace;
  }

  /**
   * Stops work for as many of the job's tasks as still lack a place, in one look at the fleet,
   * which no index answers. Looks take a bounded part of the time, and the first by priority get
   * them.
   */
  boolean makeRoom(Job job, double mostFetchSeconds, Instant now) {
    int lacking = job.pending.cardinality() - preemptor.waiting(job, now);
    Instant begun = eventLoop.now();
    if (lacking <= 0 || looksFrom.isAfter(begun) || !cluster.mayPreemptAny(job)) {
      return false;
    }
    boolean gang = job.spec.isMultiTaskGang();
    if (gang
        && cluster.reservedFor(job).stream().anyMatch(m -> m.reservationExpiresAt.isAfter(now))) {
      return false;
    }
    List<VictimSelector.Plan> plans =
        gang
            ? preemptor.gangPlans(job, now)
            : preemptor.plans(job, lacking, mostFetchSeconds, presses(job), now);
    Instant looked = eventLoop.now();
    looksFrom = looked.plus(Duration.between(begun, looked).multipliedBy(LOOKS_PART - 1));
    for (VictimSelector.Plan plan : plans) {
      Machine machine = plan.machine();
      log.debug("{} displaces {} on {}", job, plan.victims(), machine);
      cluster.reserve(machine, job, now.plus(RESERVATION));
      plan.victims().forEach(displace);
    }
    return !plans.isEmpty();
  }

  /**
   * Whether the job cannot wait until other room is had. The tasks of an array can: room comes free
   * all the time, and another machine boots. So those that have longer than that until they should
   * start stop only work of which nothing is expected. Found on galleharbour, where two of five
   * tasks of low rank were stopped, many of them several times, for jobs that had minutes left.
   */
  private boolean presses(Job job) {
    if (job.spec.kind() != JobKind.ARRAY || cluster.isGuaranteed(job)) {
      return true;
    }
    Duration slack = cluster.slack(job, eventLoop.wallClock());
    return slack.compareTo(cluster.soonestStartElsewhere(job.spec)) < 0;
  }

  /**
   * There is room, but fetching the image there would make the task late, while work of lower
   * priority sits where the image is: then that work makes way, and the entry waits for it.
   */
  boolean waitsForWarmRoom(Job job, Machine cold, Duration allowance, Instant now) {
    double fetch = Placer.fetchSeconds(job, cold);
    Duration left = Duration.between(eventLoop.wallClock(), job.acceptedAt.plus(allowance));
    double seconds = left.toMillis() / 1000.0;
    if (job.failing || fetch < 1 || seconds < 0 || fetch < seconds) {
      return false;
    }
    return preemptor.waiting(job, now) > 0 || makeRoom(job, seconds, now);
  }

  /**
   * Nothing waits, and there is room where an image is that some task is still fetching elsewhere
   * for a good while: that task moves there. It has done no work yet, so nothing is lost.
   *
   * @param roomy machines on which room came free
   * @param stop ends an attempt at once
   */
  void shortenFetches(Iterable<Machine> roomy, Instant now, Consumer<Attempt> stop) {
    for (Machine machine : roomy) {
      if (!machine.isSchedulable()) {
        continue;
      }
      Resources room = machine.free();
      while (true) {
        Attempt best = worthMoving(machine, room, now);
        if (best == null) {
          break;
        }
        log.debug("{} moves to {}, which has its image", best, machine);
        room = room.minus(best.job.spec.resourcesPerTask());
        cluster.reserve(machine, best.job, now.plus(RESERVATION));
        stop.accept(best);
      }
    }
  }

  /** The fetching attempt that would gain most by starting on this machine instead, or null. */
  private Attempt worthMoving(Machine machine, Resources room, Instant now) {
    Attempt best = null;
    Instant latest = now.plus(WORTH_MOVING);
    for (String image : machine.images.keySet()) {
      int looked = 0;
      for (Attempt attempt : cluster.fetching(image)) {
        if (!attempt.imageReadyAt.isAfter(latest) || ++looked > MOST_LOOKED) {
          // Whatever follows is ready sooner yet.
          break;
        }
        Job job = attempt.job;
        if (attempt.machine != machine
            && attempt.isWanted()
            && (job.spec.kind() != JobKind.GANG || job.spec.tasks() == 1)
            && job.spec.resourcesPerTask().fitsIn(room)
            && job.spec.resourcesPerTask().fitsIn(Placer.room(job, machine, now))
            && Placer.isAllowed(job, machine)
            && (Placer.mayTake(job, machine) || job.spec.tasks() == 1)) {
          best = attempt;
          latest = attempt.imageReadyAt;
        }
      }
    }
    return best;
  }
}
