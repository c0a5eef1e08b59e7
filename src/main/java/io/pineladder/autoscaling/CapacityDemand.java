package io.pineladder.autoscaling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.queue.QueueEntry;
import io.pineladder.queue.SchedulingCheck;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * What machines the jobs that found no room want, as seen at one moment. Each takes what it lacks
 * from the machines that boot, then from the cheapest kind for it that can be had. Jobs that can
 * wait do so for room that comes free: an ordinary machine, several times as dear, is worth its
 * price only if they would be late without it. Found on galleharbour, where most of the money went
 * to ordinary machines for work that had minutes left.
 */
final class CapacityDemand {
  /** The last task of an array takes so much longer than the estimate, as a part of it. */
  private static final double MARGIN = 0.25;

  /** A kind of machine that can be rented, by the name of its type, since prices move. */
  record Kind(String type, boolean spot) {}

  /** Machines wanted of a kind, and for which zone if their jobs have one. */
  static final class Want {
    double machines;
    final Map<String, Double> zones = new HashMap<>();

    String heaviestZone() {
      return zones.entrySet().stream()
          .max(Map.Entry.comparingByValue())
          .map(Map.Entry::getKey)
          .orElse(null);
    }
  }

  /** What waits of one job: tasks that found no room, within what its team may use. */
  private record Waiting(Job job, int count, Instant due) {}

  private final ClusterState cluster;
  private final Instant now;
  private final Instant today;
  private final boolean arraysWait;
  private final BiFunction<Boolean, JobSpec, MachineType> cheapest;
  private final Function<JobSpec, MachineType> best;
  private final ToDoubleFunction<PriorityClass> arriving;
  private final Map<Kind, Double> booting = new HashMap<>();
  private final Map<Kind, Want> wants = new LinkedHashMap<>();

  /** Ordinary machines that work, and only for jobs that could wait. */
  private final List<Machine> flexible = new ArrayList<>();

  private double capacity;
  private final BatchBacklog backlog;

  /** The first job that an ordinary machine would help, or null. */
  private JobSpec pressing;

  /**
   * At list prices an hour: what is wanted, boots, and is free; of ordinary machines, then of spot
   * ones.
   */
  private final double[] wanted = new double[2];

  private final double[] coming = new double[2];
  private final double[] free = new double[2];

  /**
   * A look at the cluster.
   *
   * @param freePart the part of a machine that is free
   * @param arraysWait whether arrays that can wait do; not where work comes that may use ordinary
   *     machines only: what arrays hold of those is the room that it finds at once, by stopping
   *     them
   * @param arriving the work above a rank, or all if it is null, that comes each second and can
   *     wait
   * @param best the type that would serve a job best if all could be had; what waits counts whether
   *     or not machines are refused at the moment, or those it needs would be given up with each
   *     refusal
   * @param cheapest the type that serves a job best of those that can be had, spot machines or not;
   *     null for none
   */
  CapacityDemand(
      ClusterState cluster,
      Scheduler scheduler,
      BootTimeEstimator boots,
      ToDoubleFunction<Machine> freePart,
      Instant now,
      Instant today,
      boolean arraysWait,
      ToDoubleFunction<PriorityClass> arriving,
      Function<JobSpec, MachineType> best,
      BiFunction<Boolean, JobSpec, MachineType> cheapest) {
    this.cluster = cluster;
    this.now = now;
    this.today = today;
    this.arraysWait = arraysWait;
    this.best = best;
    this.cheapest = cheapest;
    this.arriving = arriving;
    for (Machine machine : cluster.machines()) {
      count(machine, boots, freePart);
    }
    backlog = new BatchBacklog(capacity);
    waiting(scheduler).forEach(this::want);
  }

  /** What a task takes of such a machine, at its list price an hour. */
  static double worth(JobSpec spec, MachineType type) {
    return type.onDemandPrice()
        / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
  }

  /** Machines wanted of each kind by jobs that cannot wait, or of spot machines. */
  Map<Kind, Want> wants() {
    return wants;
  }

  /** What is wanted, at list prices an hour, whatever boots. */
  double wanted(boolean spot) {
    return wanted[kind(spot)];
  }

  /** What boots, at list prices an hour. */
  double coming(boolean spot) {
    return coming[kind(spot)];
  }

  /** What is free on machines that take work, at list prices an hour. */
  double free(boolean spot) {
    return free[kind(spot)];
  }

  /**
   * What is to be added in ordinary machines for arrays that would be late, at list prices an hour.
   * Spot machines that are asked for now may well be had: what is refused of them lacks the next
   * time.
   */
  double lacking() {
    double asked = 0;
    for (Map.Entry<Kind, Want> want : wants.entrySet()) {
      double price = cluster.type(want.getKey().type()).onDemandPrice();
      asked += want.getKey().spot() ? want.getValue().machines * price : 0;
    }
    return Math.max(0, backlog.lacking() - asked);
  }

  JobSpec pressing() {
    return pressing;
  }

  /**
   * Ordinary machines that serve only arrays that can wait, and how much of them is needed in time.
   */
  List<Machine> flexible() {
    return flexible;
  }

  double needed(double ofFlexible) {
    return backlog.needed(ofFlexible, arriving.applyAsDouble(null));
  }

  // ---- what there is

  private static double seconds(Duration duration) {
    return duration.toMillis() / 1000.0;
  }

  private static int kind(boolean spot) {
    return spot ? 1 : 0;
  }

  private void count(Machine machine, BootTimeEstimator boots, ToDoubleFunction<Machine> freePart) {
    double price = machine.type.onDemandPrice();
    switch (machine.state()) {
      case EXPECTED, HEARD -> {
        double counts = boots.weight(machine, now);
        booting.merge(new Kind(machine.type.name(), machine.spot), counts, Double::sum);
        coming[kind(machine.spot)] += counts * price;
        capacity += counts * price;
      }
      case CONFIRMED -> {
        if (machine.isSchedulable()) {
          double part = freePart.applyAsDouble(machine);
          free[kind(machine.spot)] += part * price;
          capacity += price;
          countWork(machine, part < 1);
        }
      }
      default -> {}
    }
  }

  /**
   * Takes what cannot wait from the capacity.
   *
   * @param works whether anything is there that it is worth to; an idle one is kept for its images
   *     as long as that is worth it
   */
  private void countWork(Machine machine, boolean works) {
    boolean canWait = works && !machine.spot;
    for (Attempt attempt : machine.attempts.values()) {
      if (!attempt.holdsCapacity()) {
        continue;
      }
      if (!canWait(attempt.job)) {
        canWait = false;
        capacity -= worth(attempt.job.spec, machine.type);
      }
    }
    if (canWait) {
      flexible.add(machine);
    }
  }

  private boolean canWait(Job job) {
    return arraysWait && cluster.canWaitForCapacity(job);
  }

  // ---- what waits

  /** What found no room, the first by priority first. */
  private List<Waiting> waiting(Scheduler scheduler) {
    Map<String, Resources> planned = new HashMap<>();
    List<Waiting> waiting = new ArrayList<>();
    for (QueueEntry entry : scheduler.pendingEntries()) {
      Job job = entry.job;
      JobSpec spec = job.spec;
      boolean lacksRoom =
          entry.rejectedBy() != null
              && switch (entry.rejectedBy()) {
                case FIT, PLACE, SPREAD, TOGETHER -> true;
                case TEAM_LIMIT, PREDECESSOR, FAILING, PACE, DEPENDENCY -> false;
              };
      if (!lacksRoom || entry.place() == QueueEntry.Place.BACKOFF_ERROR) {
        continue;
      }
      if (job.failing && entry.rejectedBy() != SchedulingCheck.PLACE) {
        // It is tried where there happens to be room.
        continue;
      }
      Team team = cluster.team(spec.team());
      Resources used = cluster.usage(spec.team());
      Resources before = planned.getOrDefault(spec.team(), Resources.ZERO);
      int count = job.pending.cardinality();
      while (count > 0
          && !team.allows(used.plus(before).plus(spec.resourcesPerTask().times(count)))) {
        count = count > 64 ? count / 2 : count - 1;
      }
      planned.merge(spec.team(), spec.resourcesPerTask().times(count), Resources::plus);
      if (count > 0) {
        Instant due = job.acceptedAt.plus(cluster.startAllowance(job, today));
        waiting.add(new Waiting(job, count, due));
      }
    }
    waiting.sort(
        Comparator.<Waiting, PriorityClass>comparing(w -> w.job.priorityClass())
            .thenComparing(Waiting::due));
    return waiting;
  }

  private void want(Waiting waiting) {
    Job job = waiting.job;
    JobSpec spec = job.spec;
    MachineType likely = best.apply(spec);
    if (likely == null) {
      return;
    }
    MachineType type = cheapest.apply(false, spec);
    boolean canWait = canWait(job);
    // Those that can wait would all come to avoid them while they do so, and have dear machines at
    // once.
    boolean avoidsSpot = type != null && !canWait && cluster.avoidsSpot(job, today);
    boolean maySpot = spec.spotAllowed() && !avoidsSpot;
    boolean forIdleTime = cluster.runsOnIdleCapacityOnly(job, today);
    if (canWait && !forIdleTime) {
      addToBacklog(waiting, likely);
    }
    double tasks = waiting.count;
    for (MachineType each : cluster.types()) {
      if (ScaleOut.isUsable(spec, each)) {
        wanted[kind(maySpot)] += each == likely ? tasks * worth(spec, each) : 0;
        tasks -= maySpot ? take(new Kind(each.name(), true), spec, each, tasks) : 0;
        tasks -= take(new Kind(each.name(), false), spec, each, tasks);
      }
    }
    if (tasks <= 0) {
      return;
    }
    MachineType spot = maySpot ? cheapest.apply(true, spec) : null;
    if (spot != null) {
      add(new Kind(spot.name(), true), spec, spot, tasks);
    } else if (type != null && (!maySpot || (!forIdleTime && !canWait))) {
      add(new Kind(type.name(), false), spec, type, tasks);
    }
  }

  /** Gives the job what boots of that kind; how many of its tasks that is for. */
  private double take(Kind kind, JobSpec spec, MachineType type, double tasks) {
    double there = booting.getOrDefault(kind, 0.0);
    double each = 1.0 / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
    double taken = Math.min(tasks, there / each);
    booting.computeIfPresent(kind, (k, machines) -> machines - taken * each);
    return taken;
  }

  private void add(Kind kind, JobSpec spec, MachineType type, double tasks) {
    double machines = tasks / Math.max(1, spec.resourcesPerTask().timesFittingIn(type.capacity()));
    Want want = wants.computeIfAbsent(kind, k -> new Want());
    want.machines += machines;
    if (spec.zone() != null) {
      want.zones.merge(spec.zone(), machines, Double::sum);
    }
  }

  private void addToBacklog(Waiting waiting, MachineType type) {
    JobSpec spec = waiting.job.spec;
    Duration ready = cluster.soonestStartElsewhere(spec);
    // For an objective that is missed soon after another machine is ready it is too late to rent.
    Duration allowance = cluster.startAllowance(waiting.job, today.plus(ready.multipliedBy(2)));
    Duration slack = Duration.between(today, waiting.job.acceptedAt.plus(allowance));
    double run = seconds(spec.estimatedRunTime());
    // What is late for all of them must not wait for ever.
    double within = Math.max(seconds(slack) - MARGIN * run, 2 * seconds(ready));
    double lacked = backlog.lacking();
    backlog.add(
        waiting.count * worth(spec, type),
        run,
        within,
        seconds(ready),
        arriving.applyAsDouble(waiting.job.priorityClass()));
    if (pressing == null && backlog.lacking() > lacked) {
      pressing = spec;
    }
  }
}
