package io.pineladder.autoscaling;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.PriorityClass;
import io.pineladder.net.AsyncHttpClient.Reply;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What is rented: for what waits, and for what is likely to come while a machine boots. */
final class ScaleOut {
  private static final Logger log = LoggerFactory.getLogger(ScaleOut.class);
  private static final Duration MIN_REFUSAL_PERIOD = Duration.ofSeconds(6);

  /** The part of the cloud's calls that may go into asking again what was refused. */
  private static final double REFUSAL_RETRY_SHARE = 0.4;

  /**
   * A machine costs as much as if it had been kept for so long; returned much sooner it is money
   * lost.
   */
  private static final Duration MIN_BILLED_PERIOD = Duration.ofSeconds(45);

  /** The last of some tasks runs for about so many times their estimate. */
  private static final double LONGEST_TASK_FACTOR = 1.3;

  /** A smaller part of a machine is not worth renting one. */
  private static final double NEGLIGIBLE_MACHINE_SHARE = 0.05;

  /**
   * How much longer than its tasks run a machine is kept by the last of them, for e times as many
   * tasks.
   */
  private static final double TAIL_COST_FACTOR = 0.15;

  private static final Duration ARRIVAL_TIME_CONSTANT = Duration.ofSeconds(60);

  /** Work that can wait comes in large pieces, so its rate is taken over longer. */
  private static final Duration DEFERRABLE_TIME_CONSTANT = Duration.ofSeconds(90);

  /** Machines asked for at once: when hundreds are lost together, fifty a second are too few. */
  private static final int MAX_MACHINES_PER_RENT = 200;

  /** The part of the forecast kept ready for jobs that can wait for a machine to boot. */
  private static final double PATIENT_HEADROOM_SHARE = 0.25;

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final long term;
  private final CloudClient cloud;
  private final BootTimeEstimator bootTimes;

  /** Whether a machine has been returned already. */
  private final Predicate<String> wasReleased;

  private final Map<CapacityPool, Instant> refusedUntil = new HashMap<>();
  private final List<Rental> openRentals = new ArrayList<>();
  private final ArrivalForecast urgentOnDemand = new ArrivalForecast(ARRIVAL_TIME_CONSTANT);
  private final ArrivalForecast urgentSpot = new ArrivalForecast(ARRIVAL_TIME_CONSTANT);
  private final ArrivalForecast patientOnDemand = new ArrivalForecast(ARRIVAL_TIME_CONSTANT);
  private final ArrivalForecast patientSpot = new ArrivalForecast(ARRIVAL_TIME_CONSTANT);
  private final Map<PriorityClass, ArrivalForecast> deferrableWork =
      new EnumMap<>(PriorityClass.class);
  private double meanImageGb;
  private final Zones zones;
  private long requestCount;

  /** What can be refused on its own. */
  private record CapacityPool(String type, String zone, boolean spot) {}

  private static final class Rental {
    final String requestId;
    final CapacityPool pool;
    final int count;
    final boolean forDeadlines;
    boolean inFlight;

    Rental(String requestId, CapacityPool pool, int count, boolean forDeadlines) {
      this.forDeadlines = forDeadlines;
      this.requestId = requestId;
      this.pool = pool;
      this.count = count;
    }
  }

  ScaleOut(
      ClusterState cluster,
      Scheduler scheduler,
      EventLoop eventLoop,
      long term,
      CloudClient cloud,
      BootTimeEstimator bootTimes,
      Zones zones,
      Predicate<String> wasReleased) {
    this.zones = zones;
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.term = term;
    this.cloud = cloud;
    this.bootTimes = bootTimes;
    this.wasReleased = wasReleased;
  }

  /**
   * A term begins. A new leader must not take images for small until the next job comes: it would
   * return idle machines with images that take minutes to fetch.
   */
  void start() {
    meanImageGb =
        cluster.jobs.values().stream().mapToDouble(j -> j.spec.imageGb()).average().orElse(0);
  }

  /** Whether images are known to be fetched sooner than a machine of the type boots. */
  boolean isFetchFasterThanBoot(MachineType type) {
    return meanImageGb > 0 && fetchTime(type).compareTo(type.bootTime()) < 0;
  }

  /** How long a machine of the type fetches an image like most. */
  Duration fetchTime(MachineType type) {
    return type.fetchTime(meanImageGb);
  }

  /** A job may start from now on: it counts for the forecast. */
  void recordArrival(Job job) {
    JobSpec spec = job.spec;
    MachineType type = cheapest(false, spec, true);
    if (type == null) {
      return;
    }
    Instant now = eventLoop.now();
    double value = spec.tasks() * CapacityDemand.taskValue(spec, type);
    // A job is patient if it can wait for a machine to boot and to fetch its image there.
    Duration readyTime = type.bootTime().plus(type.fetchTime(spec.imageGb()));
    boolean patient =
        job.priorityClass() != PriorityClass.PRODUCTION
            && cluster.startSlack(job, eventLoop.wallClock()).compareTo(readyTime) > 0;
    if (spec.spotAllowed()) {
      (patient ? patientSpot : urgentSpot).add(value, now);
    } else {
      (patient ? patientOnDemand : urgentOnDemand).add(value, now);
    }
    if (cluster.canWaitForCapacity(job)) {
      double work = value * spec.estimatedRunTime().toMillis() / 1000.0;
      deferrableWork
          .computeIfAbsent(job.priorityClass(), r -> new ArrivalForecast(DEFERRABLE_TIME_CONSTANT))
          .add(work, now);
    }
    meanImageGb = meanImageGb == 0 ? spec.imageGb() : 0.9 * meanImageGb + 0.1 * spec.imageGb();
  }

  /** The work above a rank, or all if it is null, that comes each second and can wait. */
  private double deferrableWorkRate(PriorityClass below) {
    Instant now = eventLoop.now();
    return deferrableWork.entrySet().stream()
        .filter(e -> below == null || e.getKey().isAbove(below))
        .mapToDouble(e -> e.getValue().rate(now))
        .sum();
  }

  /** Room to have ready for what comes while another machine boots, at list prices an hour. */
  double headroom(boolean spot) {
    Instant now = eventLoop.now();
    double bootSeconds =
        cluster.types().stream().mapToDouble(t -> t.bootTime().toMillis() / 1000.0).min().orElse(0);
    return spot
        ? urgentSpot.rate(now) * bootSeconds
            + patientSpot.rate(now) * bootSeconds * PATIENT_HEADROOM_SHARE
        : urgentOnDemand.rate(now) * bootSeconds
            + patientOnDemand.rate(now) * bootSeconds * PATIENT_HEADROOM_SHARE;
  }

  /** Whether tasks of the job fit such a machine, and may be there. */
  static boolean isUsable(JobSpec spec, MachineType type) {
    return spec.allowsType(type.name())
        && spec.resourcesPerTask().fitsIn(type.capacity())
        && (spec.zone() == null || type.zones().contains(spec.zone()));
  }

  /**
   * The type whose machines cost the job's tasks least, of those that the cloud has not refused
   * lately.
   *
   * @param spec null for any job
   * @param all whether those refused count as well
   */
  private MachineType cheapest(boolean spot, JobSpec spec, boolean includeRefused) {
    MachineType best = null;
    double bestPrice = Double.MAX_VALUE;
    for (MachineType type : cluster.types()) {
      if ((spec != null && !isUsable(spec, type)) || (!includeRefused && isRefused(type, spot))) {
        continue;
      }
      double price = type.price(spot);
      if (spec == null) {
        price /= type.onDemandPrice();
      } else {
        // What a machine holds beyond one small job's tasks serves others, but not at once; and it
        // is
        // paid for until the last of its tasks ends.
        long tasks =
            Math.min(spec.resourcesPerTask().timesFittingIn(type.capacity()), spec.tasks());
        price *= (1 + TAIL_COST_FACTOR * Math.log(tasks)) / tasks;
      }
      if (price < bestPrice) {
        best = type;
        bestPrice = price;
      }
    }
    return best;
  }

  /**
   * Whether nothing is there that an ordinary machine is worth to: work for idle time fills it, but
   * does not keep it. Found on colombo-ops, where a guest's kept a thousand rented.
   */
  boolean isIdle(Machine machine) {
    if (machine.attempts.isEmpty()) {
      return true;
    }
    return !machine.spot
        && machine.attempts.values().stream()
            .allMatch(
                a ->
                    a.job.spec.isCheckpointed()
                        && cluster.runsOnIdleCapacityOnly(a.job, eventLoop.wallClock()));
  }

  /** The part of a machine that is free. */
  double freeShare(Machine machine) {
    return isIdle(machine) ? 1 : Math.max(0, 1 - machine.used.shareOf(machine.type.capacity()));
  }

  void rentMissing(Instant now) {
    resendUnanswered();
    if (openRentals.stream().anyMatch(r -> r.inFlight)) {
      return;
    }
    if (cluster.jobs.isEmpty()) {
      return;
    }
    CapacityDemand demand =
        new CapacityDemand(
            cluster,
            scheduler,
            bootTimes,
            this::freeShare,
            now,
            eventLoop.wallClock(),
            mayDeferArrays(),
            this::deferrableWorkRate,
            spec -> cheapest(false, spec, true),
            (spot, spec) -> cheapest(spot, spec, false));
    Map<CapacityDemand.MachineKind, CapacityDemand.MissingMachines> missing = demand.missing();
    double missingForDeadlines = reviewOnDemand(demand, now);
    if (missingForDeadlines > 0) {
      MachineType type = cheapest(false, demand.criticalJob(), false);
      if (type != null) {
        int count =
            (int)
                Math.ceil(
                    missingForDeadlines / type.onDemandPrice() / bootTimes.arrivalShare(type));
        rent(type, null, false, count, true, now);
      }
    }
    for (boolean spot : new boolean[] {false, true}) {
      // Nothing waits for this yet, so no dearer kind is taken.
      double available =
          demand.freeValue(spot) + Math.max(demand.wantedValue(spot), demand.bootingValue(spot));
      double missingHeadroom = headroom(spot) - available;
      MachineType type = missingHeadroom > 0 ? cheapest(spot, null, false) : null;
      if (type != null) {
        missing.computeIfAbsent(
                    new CapacityDemand.MachineKind(type.name(), spot),
                    k -> new CapacityDemand.MissingMachines())
                .machines +=
            missingHeadroom / type.onDemandPrice();
      }
    }
    missing.forEach(
        (kind, missingOfKind) -> {
          if (missingOfKind.machines > NEGLIGIBLE_MACHINE_SHARE) {
            MachineType type = cluster.type(kind.type());
            int count = (int) Math.ceil(missingOfKind.machines / bootTimes.arrivalShare(type));
            rent(type, missingOfKind.zoneInGreatestNeed(), kind.spot(), count, false, now);
          }
        });
  }

  /**
   * Whether hardly anything comes that may use ordinary machines only. Found on colombo-ops: with
   * few of them rented for arrays replicas found no room at once, and 0.85 of them started in time
   * instead of 0.97.
   */
  private boolean mayDeferArrays() {
    double lowestPrice =
        cluster.types().stream()
            .mapToDouble(MachineType::onDemandPrice)
            .min()
            .orElse(Double.MAX_VALUE);
    return headroom(false) < NEGLIGIBLE_MACHINE_SHARE * lowestPrice;
  }

  /**
   * Ordinary machines with nothing on them but jobs that would be in time without them take no more
   * work and are returned as it ends; they take work again when it is needed after all. Without
   * this what was rented in a rush was kept as long as anything waited.
   *
   * @return what is still to be rented for arrays that would be late, at list prices an hour
   */
  private double reviewOnDemand(CapacityDemand demand, Instant now) {
    double missingNow = 0;
    for (Map.Entry<CapacityDemand.MachineKind, CapacityDemand.MissingMachines> missingOfKind :
        demand.missing().entrySet()) {
      double price = cluster.type(missingOfKind.getKey().type()).onDemandPrice();
      missingNow += missingOfKind.getKey().spot() ? 0 : missingOfKind.getValue().machines * price;
    }
    double missingForDeadlines = demand.missingForDeferrable();
    double stillMissingNow = missingNow;
    List<Machine> retiring = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      if (machine.retiring) {
        retiring.add(machine);
      }
    }
    // The dearer a machine is, the dearer are the last tasks that keep it.
    retiring.sort(Comparator.comparing(machine -> machine.type.onDemandPrice()));
    for (Machine machine : retiring) {
      if (missingForDeadlines > 0 || stillMissingNow > 0) {
        machine.retiring = false;
        cluster.updateIndexes(machine);
        scheduler.onMachineReady(machine);
        stillMissingNow -= machine.type.onDemandPrice() * freeShare(machine);
        missingForDeadlines -= machine.type.onDemandPrice();
      }
    }
    if (missingNow > 0) {
      double missingShare = Math.max(0, stillMissingNow) / missingNow;
      demand
          .missing()
          .forEach(
              (kind, missingOfKind) -> missingOfKind.machines *= kind.spot() ? 1 : missingShare);
    }
    List<Machine> deferrableOnly = demand.deferrableOnly();
    double deferrableValue = deferrableOnly.stream().mapToDouble(m -> m.type.onDemandPrice()).sum();
    double neededValue = Math.max(demand.neededForDeferrable(deferrableValue), 2 * headroom(false));
    // The larger a machine, the longer the last of its tasks keep it.
    deferrableOnly.sort(
        Comparator.<Machine>comparingDouble(machine -> -machine.type.onDemandPrice())
            .thenComparing(machine -> -freeShare(machine)));
    for (Machine machine : deferrableOnly) {
      if (missingNow > 0
          || missingForDeadlines > 0
          || deferrableValue - machine.type.onDemandPrice() < neededValue) {
        break;
      }
      if (machine.createdAt.plus(MIN_BILLED_PERIOD).isBefore(now)) {
        machine.retiring = true;
        cluster.updateIndexes(machine);
        deferrableValue -= machine.type.onDemandPrice();
      }
    }
    log.debug(
        "ordinary machines: lacking {}, wanted {}, flexible {}, of which to keep {}, spared before"
            + " {}",
        demand.missingForDeferrable(),
        missingNow,
        deferrableValue,
        neededValue,
        retiring.size());
    if (missingNow <= 0 && missingForDeadlines <= 0) {
      drainRetiring(demand.freeValue(true) - headroom(true), now);
    }
    return Math.max(0, missingForDeadlines);
  }

  /**
   * The last tasks on a machine that is to go start anew on spot machines with room for them if
   * that loses less than the machine costs until they end. Found on galleharbour, where a hundred
   * ordinary machines were each kept for two minutes by a few long tasks.
   *
   * @param room what is free on spot machines, at list prices an hour
   */
  private void drainRetiring(double freeSpotValue, Instant now) {
    Instant wallClock = eventLoop.wallClock();
    for (Machine machine : cluster.machines()) {
      if (!machine.retiring || machine.attempts.isEmpty()) {
        continue;
      }
      double lostValue = 0;
      double movedValue = 0;
      double longestSeconds = 0;
      boolean meetsObjectives = true;
      for (Attempt attempt : machine.attempts.values()) {
        if (!attempt.holdsCapacity()) {
          continue;
        }
        JobSpec spec = attempt.job.spec;
        double runSeconds = spec.estimatedRunTime().toMillis() / 1000.0;
        Instant startedAt = attempt.runningSince == null ? now : attempt.runningSince;
        double elapsedSeconds = Duration.between(startedAt, now).toMillis() / 1000.0;
        double taskValue = CapacityDemand.taskValue(spec, machine.type);
        movedValue += taskValue;
        lostValue +=
            taskValue * elapsedSeconds * machine.type.spotPrice() / machine.type.onDemandPrice();
        longestSeconds =
            Math.max(
                longestSeconds,
                Math.max(LONGEST_TASK_FACTOR * runSeconds - elapsedSeconds, runSeconds / 2));
        meetsObjectives &=
            attempt.isWanted() && !cluster.wouldMissObjectiveAfterRestart(attempt.job, wallClock);
      }
      if (meetsObjectives
          && movedValue > 0
          && movedValue < freeSpotValue
          && 2 * lostValue < longestSeconds * machine.type.onDemandPrice()) {
        log.debug("machine {} is emptied: {} lost for {} s", machine, lostValue, longestSeconds);
        freeSpotValue -= movedValue;
        machine.draining = true;
        List.copyOf(machine.attempts.values()).forEach(scheduler::preempt);
      }
    }
  }

  /** Whether the cloud has lately refused this kind in every zone. */
  private boolean isRefused(MachineType type, boolean spot) {
    Instant now = eventLoop.now();
    for (String zone : type.zones()) {
      Instant until = refusedUntil.get(new CapacityPool(type.name(), zone, spot));
      if (until == null || until.isBefore(now)) {
        return false;
      }
    }
    return true;
  }

  /** For how long a refusal counts: kinds and zones are many and calls to the cloud few. */
  private Duration refusalPeriod() {
    long pools = cluster.types().stream().mapToLong(t -> 2L * t.zones().size()).sum();
    double retriesPerSecond =
        cluster.settings.cloudLimits().requestsPerSecond() * REFUSAL_RETRY_SHARE;
    Duration pacedPeriod =
        Duration.ofMillis((long) (pools * 1000 / Math.max(0.1, retriesPerSecond)));
    return pacedPeriod.compareTo(MIN_REFUSAL_PERIOD) > 0 ? pacedPeriod : MIN_REFUSAL_PERIOD;
  }

  private void rent(
      MachineType type, String zone, boolean spot, int count, boolean forDeadlines, Instant now) {
    // What is rented where nobody is heard serves nobody, and is money and calls lost.
    List<String> candidateZones = new ArrayList<>(zones.rentableZones(type.zones()));
    if (zone != null) {
      candidateZones.retainAll(List.of(zone));
    }
    Map<String, Integer> machinesByZone = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      if (machine.hasType(type) && machine.spot == spot) {
        machinesByZone.merge(machine.zone, 1, Integer::sum);
      }
    }
    candidateZones.sort(Comparator.comparing(z -> machinesByZone.getOrDefault(z, 0)));
    List<CapacityPool> openPools = new ArrayList<>();
    for (String each : candidateZones) {
      CapacityPool pool = new CapacityPool(type.name(), each, spot);
      Instant until = refusedUntil.get(pool);
      if (until == null || until.isBefore(now)) {
        openPools.add(pool);
      }
    }
    int remaining = Math.min(count, MAX_MACHINES_PER_RENT);
    for (int i = 0; i < openPools.size(); i++) {
      int remainingOfPool = (int) Math.ceil((double) remaining / (openPools.size() - i));
      while (remainingOfPool > 0) {
        int batchSize = Math.min(remainingOfPool, CloudWire.MOST_RENTED);
        Rental rental =
            new Rental(
                "c-" + term + "-" + ++requestCount, openPools.get(i), batchSize, forDeadlines);
        if (!send(rental)) {
          break;
        }
        openRentals.add(rental);
        remainingOfPool -= batchSize;
        remaining -= batchSize;
      }
    }
  }

  private void resendUnanswered() {
    for (Rental rental : List.copyOf(openRentals)) {
      if (!rental.inFlight) {
        send(rental);
      }
    }
  }

  private boolean send(Rental rental) {
    CapacityPool pool = rental.pool;
    rental.inFlight =
        cloud.post(
            "/rentals",
            CloudWire.rent(rental.requestId, pool.type, pool.zone, pool.spot, rental.count),
            reply -> onRentalReply(rental, reply));
    return rental.inFlight;
  }

  private void onRentalReply(Rental rental, Reply reply) {
    rental.inFlight = false;
    CapacityPool pool = rental.pool;
    if (!reply.isAnswered()) {
      // It may have been executed: the same request again tells, and rents nothing twice.
      return;
    }
    openRentals.remove(rental);
    if (!reply.is(200)) {
      if (CloudClient.isCapacityRefusal(reply)) {
        refusedUntil.put(pool, eventLoop.now().plus(refusalPeriod()));
      }
      return;
    }
    try {
      List<String> names = CloudWire.parseRented(reply.body());
      log.info("rented {} of {} {}", names.size(), rental.count, pool);
      if (names.size() < rental.count) {
        refusedUntil.put(pool, eventLoop.now().plus(refusalPeriod()));
      }
      for (String name : names) {
        if (cluster.machine(name) == null && !wasReleased.test(name)) {
          MachineType type = cluster.type(pool.type);
          Machine machine = new Machine(name, type, pool.zone, pool.spot, eventLoop.now());
          machine.rentedByThisLeader = true;
          machine.rentedForDeadlines = rental.forDeadlines;
          cluster.addMachine(machine);
        }
      }
    } catch (MalformedMessageException e) {
      log.warn("the cloud's answer to a rental is malformed");
    }
  }
}
