package io.pineladder.scheduling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.Resources;
import io.pineladder.model.Shape;
import io.pineladder.model.Team;
import io.pineladder.net.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Finds the work whose stopping costs least and lets a job of higher priority in. */
final class Preemptor {
  /** What speaks against stopping a task that its job cannot start again in time, in seconds. */
  private static final double LATE = 60;

  private final Cluster cluster;
  private final Timeline time;

  Preemptor(Cluster cluster, Timeline time) {
    this.cluster = cluster;
    this.time = time;
  }

  /** Attempts to stop on one machine. */
  record Plan(Machine machine, List<Attempt> victims) {}

  /** On how many machines work stopped for this job is still leaving. */
  int waiting(Job job, Instant now) {
    int count = 0;
    for (Machine machine : cluster.reservedFor(job)) {
      if (machine.reservedUntil.isAfter(now)
          && machine.takesWork()
          && !job.spec.each().fitsIn(machine.free())) {
        count++;
      }
    }
    return count;
  }

  /**
   * Room for one task of the job where its image takes at most so long to arrive, or null when
   * nothing may be stopped for it.
   */
  Plan plan(Job job, double mostFetchSeconds, Instant now) {
    JobSpec spec = job.spec;
    if (spec.shape() == Shape.GANG && spec.tasks() > 1) {
      // Stopping work for a part of a gang frees room that the gang may not be able to use.
      return null;
    }
    Team team = cluster.team(spec.team());
    boolean guaranteed =
        cluster.isGuaranteed(job)
            && team.guarantees(cluster.usage(spec.team()).plus(spec.each()));
    Plan best = null;
    double bestLoss = Double.MAX_VALUE;
    for (Machine machine : cluster.machines()) {
      if (!machine.takesWork()
          || !Placer.isAllowed(job, machine)
          || (machine.reservedFor == job && machine.reservedUntil.isAfter(now))
          || !Placer.mayTake(job, machine)
          || Placer.fetchSeconds(job, machine) > mostFetchSeconds) {
        continue;
      }
      List<Attempt> victims = victims(job, machine, guaranteed, now);
      if (victims == null) {
        continue;
      }
      double loss = Placer.fetchSeconds(job, machine);
      for (Attempt victim : victims) {
        loss += loss(victim, now);
      }
      if (loss < bestLoss) {
        bestLoss = loss;
        best = new Plan(machine, victims);
      }
    }
    return best;
  }

  private List<Attempt> victims(Job job, Machine machine, boolean guaranteed, Instant now) {
    Resources room = Placer.room(job, machine, now);
    List<Attempt> candidates = new ArrayList<>();
    for (Attempt attempt : machine.attempts.values()) {
      if (!attempt.holdsRoom()) {
        continue;
      }
      if (!attempt.isWanted()) {
        // It is leaving anyway.
        room = room.plus(attempt.job.spec.each());
      } else if (mayDisplace(job, attempt.job, guaranteed)) {
        candidates.add(attempt);
      }
    }
    candidates.sort(Comparator.comparingDouble(a -> loss(a, now)));
    List<Attempt> victims = new ArrayList<>();
    for (Attempt candidate : candidates) {
      if (job.spec.each().fitsIn(room)) {
        break;
      }
      victims.add(candidate);
      room = room.plus(candidate.job.spec.each());
    }
    return job.spec.each().fitsIn(room) && !victims.isEmpty() ? victims : null;
  }

  /** A higher rank, or a guarantee against what another team has beyond its own. */
  private boolean mayDisplace(Job job, Job victim, boolean guaranteed) {
    boolean victimGuaranteed = cluster.isGuaranteed(victim);
    if (job.spec.rank().isAbove(victim.spec.rank())) {
      return guaranteed || !victimGuaranteed;
    }
    return guaranteed && !victimGuaranteed && !victim.spec.team().equals(job.spec.team());
  }

  /** Seconds of work that stopping it throws away, and more if its job would be late for it. */
  private double loss(Attempt attempt, Instant now) {
    boolean late = cluster.objectives().breaksByRestart(attempt.job, time.timeOfDay());
    return lostWork(attempt, now) + (late ? LATE : 0);
  }

  private static double lostWork(Attempt attempt, Instant now) {
    Instant from = attempt.runningSince == null ? attempt.since : attempt.runningSince;
    Duration ran = Duration.between(from, now);
    if (attempt.job.spec.savesWork()) {
      Duration save = attempt.job.spec.saveTime();
      return Math.min(ran.toMillis(), save.toMillis()) / 1000.0;
    }
    return ran.toMillis() / 1000.0;
  }
}
