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
  private static final Duration REFUSED_FOR = Duration.ofSeconds(6);

  /** The part of the cloud's calls that may go into asking again what was refused. */
  private static final double ASKED_AGAIN = 0.4;

  /**
   * A machine costs as much as if it had been kept for so long; returned much sooner it is money
   * lost.
   */
  private static final Duration PAID_FOR = Duration.ofSeconds(45);

  /** The last of some tasks runs for about so many times their estimate. */
  private static final double LONGEST = 1.3;

  /** A smaller part of a machine is not worth renting one. */
  private static final double LITTLE = 0.05;

  /**
   * How much longer than its tasks run a machine is kept by the last of them, for e times as many
   * tasks.
   */
  private static final double TAIL = 0.15;

  private static final Duration MEMORY = Duration.ofSeconds(60);

  /** Work that can wait comes in large pieces, so its rate is taken over longer. */
  private static final Duration LONG_MEMORY = Duration.ofSeconds(90);

  /** Machines asked for at once: when hundreds are lost together, fifty a second are too few. */
  private static final int MOST_ASKED = 200;

  /** The part of the forecast kept ready for jobs that can wait for a machine to boot. */
  private static final double PATIENT_PART = 0.25;

  private final ClusterState cluster;
  private final Scheduler scheduler;
  private final EventLoop eventLoop;
  private final long term;
  private final CloudClient cloud;
  private final BootTimeEstimator boots;

  /** Whether a machine has been returned already. */
  private final Predicate<String> wasReleased;

  private final Map<Pool, Instant> refused = new HashMap<>();
  private final List<Rental> rentals = new ArrayList<>();
  private final ArrivalForecast tightOrdinary = new ArrivalForecast(MEMORY);
  private final ArrivalForecast tightSpot = new ArrivalForecast(MEMORY);
  private final ArrivalForecast patientOrdinary = new ArrivalForecast(MEMORY);
  private final ArrivalForecast patientSpot = new ArrivalForecast(MEMORY);
  private final Map<PriorityClass, ArrivalForecast> arrivals = new EnumMap<>(PriorityClass.class);
  private double meanImageGb;
  private final Zones states;
  private long requests;

  /** What can be refused on its own. */
  private record Pool(String type, String zone, boolean spot) {}

  private static final class Rental {
    final String request;
    final Pool pool;
    final int count;
    final boolean surge;
    boolean sent;

    Rental(String request, Pool pool, int count, boolean surge) {
      this.surge = surge;
      this.request = request;
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
      BootTimeEstimator boots,
      Zones states,
      Predicate<String> wasReleased) {
    this.states = states;
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.eventLoop = eventLoop;
    this.term = term;
    this.cloud = cloud;
    this.boots = boots;
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
  boolean isFetchedSooner(MachineType type) {
    return meanImageGb > 0 && fetchTime(type).compareTo(type.bootTime()) < 0;
  }

  /** How long a machine of the type fetches an image like most. */
  Duration fetchTime(MachineType type) {
    return type.fetchTime(meanImageGb);
  }

  /** A job may start from now on: it counts for the forecast. */
  void accepted(Job job) {
    JobSpec spec = job.spec;
    MachineType type = cheapest(false, spec, true);
    if (type == null) {
      return;
    }
    Instant now = eventLoop.now();
    double worth = spec.tasks() * CapacityDemand.worth(spec, type);
    // A job is patient if it can wait for a machine to boot and to fetch its image there.
    Duration ready = type.bootTime().plus(type.fetchTime(spec.imageGb()));
    boolean patient =
        job.priorityClass() != PriorityClass.PRODUCTION
            && cluster.startSlack(job, eventLoop.wallClock()).compareTo(ready) > 0;
    if (spec.spotAllowed()) {
      (patient ? patientSpot : tightSpot).add(worth, now);
    } else {
      (patient ? patientOrdinary : tightOrdinary).add(worth, now);
    }
    if (cluster.canWaitForCapacity(job)) {
      double work = worth * spec.estimatedRunTime().toMillis() / 1000.0;
      arrivals
          .computeIfAbsent(job.priorityClass(), r -> new ArrivalForecast(LONG_MEMORY))
          .add(work, now);
    }
    meanImageGb = meanImageGb == 0 ? spec.imageGb() : 0.9 * meanImageGb + 0.1 * spec.imageGb();
  }

  /** The work above a rank, or all if it is null, that comes each second and can wait. */
  private double arriving(PriorityClass below) {
    Instant now = eventLoop.now();
    return arrivals.entrySet().stream()
        .filter(e -> below == null || e.getKey().isAbove(below))
        .mapToDouble(e -> e.getValue().rate(now))
        .sum();
  }

  /** Room to have ready for what comes while another machine boots, at list prices an hour. */
  double headroom(boolean spot) {
    Instant now = eventLoop.now();
    double boot =
        cluster.types().stream().mapToDouble(t -> t.bootTime().toMillis() / 1000.0).min().orElse(0);
    return spot
        ? tightSpot.rate(now) * boot + patientSpot.rate(now) * boot * PATIENT_PART
        : tightOrdinary.rate(now) * boot + patientOrdinary.rate(now) * boot * PATIENT_PART;
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
  private MachineType cheapest(boolean spot, JobSpec spec, boolean all) {
    MachineType best = null;
    double bestPrice = Double.MAX_VALUE;
    for (MachineType type : cluster.types()) {
      if ((spec != null && !isUsable(spec, type)) || (!all && isRefused(type, spot))) {
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
        price *= (1 + TAIL * Math.log(tasks)) / tasks;
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
  double free(Machine machine) {
    return isIdle(machine) ? 1 : Math.max(0, 1 - machine.used.shareOf(machine.type.capacity()));
  }

  void rent(Instant now) {
    resend();
    if (rentals.stream().anyMatch(r -> r.sent)) {
      return;
    }
    if (cluster.jobs.isEmpty()) {
      return;
    }
    CapacityDemand demand =
        new CapacityDemand(
            cluster,
            scheduler,
            boots,
            this::free,
            now,
            eventLoop.wallClock(),
            arraysWait(),
            this::arriving,
            spec -> cheapest(false, spec, true),
            (spot, spec) -> cheapest(spot, spec, false));
    Map<CapacityDemand.Kind, CapacityDemand.Want> wants = demand.wants();
    double lacking = spare(demand, now);
    if (lacking > 0) {
      MachineType type = cheapest(false, demand.pressing(), false);
      if (type != null) {
        int count = (int) Math.ceil(lacking / type.onDemandPrice() / boots.comingPart(type));
        ask(type, null, false, count, true, now);
      }
    }
    for (boolean spot : new boolean[] {false, true}) {
      // Nothing waits for this yet, so no dearer kind is taken.
      double there = demand.free(spot) + Math.max(demand.wanted(spot), demand.coming(spot));
      double ready = headroom(spot) - there;
      MachineType type = ready > 0 ? cheapest(spot, null, false) : null;
      if (type != null) {
        wants.computeIfAbsent(
                    new CapacityDemand.Kind(type.name(), spot), k -> new CapacityDemand.Want())
                .machines +=
            ready / type.onDemandPrice();
      }
    }
    wants.forEach(
        (kind, want) -> {
          if (want.machines > LITTLE) {
            MachineType type = cluster.type(kind.type());
            int count = (int) Math.ceil(want.machines / boots.comingPart(type));
            ask(type, want.heaviestZone(), kind.spot(), count, false, now);
          }
        });
  }

  /**
   * Whether hardly anything comes that may use ordinary machines only. Found on colombo-ops: with
   * few of them rented for arrays replicas found no room at once, and 0.85 of them started in time
   * instead of 0.97.
   */
  private boolean arraysWait() {
    double least =
        cluster.types().stream()
            .mapToDouble(MachineType::onDemandPrice)
            .min()
            .orElse(Double.MAX_VALUE);
    return headroom(false) < LITTLE * least;
  }

  /**
   * Ordinary machines with nothing on them but jobs that would be in time without them take no more
   * work and are returned as it ends; they take work again when it is needed after all. Without
   * this what was rented in a rush was kept as long as anything waited.
   *
   * @return what is still to be rented for arrays that would be late, at list prices an hour
   */
  private double spare(CapacityDemand demand, Instant now) {
    double wanted = 0;
    for (Map.Entry<CapacityDemand.Kind, CapacityDemand.Want> want : demand.wants().entrySet()) {
      double price = cluster.type(want.getKey().type()).onDemandPrice();
      wanted += want.getKey().spot() ? 0 : want.getValue().machines * price;
    }
    double lacking = demand.lacking();
    double unmet = wanted;
    List<Machine> spared = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      if (machine.retiring) {
        spared.add(machine);
      }
    }
    // The dearer a machine is, the dearer are the last tasks that keep it.
    spared.sort(Comparator.comparing(machine -> machine.type.onDemandPrice()));
    for (Machine machine : spared) {
      if (lacking > 0 || unmet > 0) {
        machine.retiring = false;
        cluster.updateIndexes(machine);
        scheduler.onMachineReady(machine);
        unmet -= machine.type.onDemandPrice() * free(machine);
        lacking -= machine.type.onDemandPrice();
      }
    }
    if (wanted > 0) {
      double left = Math.max(0, unmet) / wanted;
      demand.wants().forEach((kind, want) -> want.machines *= kind.spot() ? 1 : left);
    }
    List<Machine> flexible = demand.flexible();
    double of = flexible.stream().mapToDouble(m -> m.type.onDemandPrice()).sum();
    double keep = Math.max(demand.needed(of), 2 * headroom(false));
    // The larger a machine, the longer the last of its tasks keep it.
    flexible.sort(
        Comparator.<Machine>comparingDouble(machine -> -machine.type.onDemandPrice())
            .thenComparing(machine -> -free(machine)));
    for (Machine machine : flexible) {
      if (wanted > 0 || lacking > 0 || of - machine.type.onDemandPrice() < keep) {
        break;
      }
      if (machine.createdAt.plus(PAID_FOR).isBefore(now)) {
        machine.retiring = true;
        cluster.updateIndexes(machine);
        of -= machine.type.onDemandPrice();
      }
    }
    log.debug(
        "ordinary machines: lacking {}, wanted {}, flexible {}, of which to keep {}, spared before"
            + " {}",
        demand.lacking(),
        wanted,
        of,
        keep,
        spared.size());
    if (wanted <= 0 && lacking <= 0) {
      emptySpared(demand.free(true) - headroom(true), now);
    }
    return Math.max(0, lacking);
  }

  /**
   * The last tasks on a machine that is to go start anew on spot machines with room for them if
   * that loses less than the machine costs until they end. Found on galleharbour, where a hundred
   * ordinary machines were each kept for two minutes by a few long tasks.
   *
   * @param room what is free on spot machines, at list prices an hour
   */
  private void emptySpared(double room, Instant now) {
    Instant today = eventLoop.wallClock();
    for (Machine machine : cluster.machines()) {
      if (!machine.retiring || machine.attempts.isEmpty()) {
        continue;
      }
      double lost = 0;
      double worth = 0;
      double longest = 0;
      boolean inTime = true;
      for (Attempt attempt : machine.attempts.values()) {
        if (!attempt.holdsCapacity()) {
          continue;
        }
        JobSpec spec = attempt.job.spec;
        double run = spec.estimatedRunTime().toMillis() / 1000.0;
        Instant from = attempt.runningSince == null ? now : attempt.runningSince;
        double ran = Duration.between(from, now).toMillis() / 1000.0;
        double each = CapacityDemand.worth(spec, machine.type);
        worth += each;
        lost += each * ran * machine.type.spotPrice() / machine.type.onDemandPrice();
        longest = Math.max(longest, Math.max(LONGEST * run - ran, run / 2));
        inTime &= attempt.isWanted() && !cluster.wouldMissObjectiveAfterRestart(attempt.job, today);
      }
      if (inTime
          && worth > 0
          && worth < room
          && 2 * lost < longest * machine.type.onDemandPrice()) {
        log.debug("machine {} is emptied: {} lost for {} s", machine, lost, longest);
        room -= worth;
        machine.draining = true;
        List.copyOf(machine.attempts.values()).forEach(scheduler::preempt);
      }
    }
  }

  /** Whether the cloud has lately refused this kind in every zone. */
  private boolean isRefused(MachineType type, boolean spot) {
    Instant now = eventLoop.now();
    for (String zone : type.zones()) {
      Instant until = refused.get(new Pool(type.name(), zone, spot));
      if (until == null || until.isBefore(now)) {
        return false;
      }
    }
    return true;
  }

  /** For how long a refusal counts: kinds and zones are many and calls to the cloud few. */
  private Duration refusedFor() {
    long pools = cluster.types().stream().mapToLong(t -> 2L * t.zones().size()).sum();
    double calls = cluster.settings.cloudLimits().requestsPerSecond() * ASKED_AGAIN;
    Duration paced = Duration.ofMillis((long) (pools * 1000 / Math.max(0.1, calls)));
    return paced.compareTo(REFUSED_FOR) > 0 ? paced : REFUSED_FOR;
  }

  private void ask(
      MachineType type, String zone, boolean spot, int count, boolean surge, Instant now) {
    // What is rented where nobody is heard serves nobody, and is money and calls lost.
    List<String> zones = new ArrayList<>(states.rentable(type.zones()));
    if (zone != null) {
      zones.retainAll(List.of(zone));
    }
    Map<String, Integer> there = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      if (machine.hasType(type) && machine.spot == spot) {
        there.merge(machine.zone, 1, Integer::sum);
      }
    }
    zones.sort(Comparator.comparing(z -> there.getOrDefault(z, 0)));
    List<Pool> open = new ArrayList<>();
    for (String each : zones) {
      Pool pool = new Pool(type.name(), each, spot);
      Instant until = refused.get(pool);
      if (until == null || until.isBefore(now)) {
        open.add(pool);
      }
    }
    int left = Math.min(count, MOST_ASKED);
    for (int i = 0; i < open.size(); i++) {
      int ofPool = (int) Math.ceil((double) left / (open.size() - i));
      while (ofPool > 0) {
        int part = Math.min(ofPool, CloudWire.MOST_RENTED);
        Rental rental = new Rental("c-" + term + "-" + ++requests, open.get(i), part, surge);
        if (!send(rental)) {
          break;
        }
        rentals.add(rental);
        ofPool -= part;
        left -= part;
      }
    }
  }

  private void resend() {
    for (Rental rental : List.copyOf(rentals)) {
      if (!rental.sent) {
        send(rental);
      }
    }
  }

  private boolean send(Rental rental) {
    Pool pool = rental.pool;
    rental.sent =
        cloud.post(
            "/rentals",
            CloudWire.rent(rental.request, pool.type, pool.zone, pool.spot, rental.count),
            reply -> onRented(rental, reply));
    return rental.sent;
  }

  private void onRented(Rental rental, Reply reply) {
    rental.sent = false;
    Pool pool = rental.pool;
    if (!reply.isAnswered()) {
      // It may have been executed: the same request again tells, and rents nothing twice.
      return;
    }
    rentals.remove(rental);
    if (!reply.is(200)) {
      if (CloudClient.isRefusal(reply)) {
        refused.put(pool, eventLoop.now().plus(refusedFor()));
      }
      return;
    }
    try {
      List<String> names = CloudWire.parseRented(reply.body());
      log.info("rented {} of {} {}", names.size(), rental.count, pool);
      if (names.size() < rental.count) {
        refused.put(pool, eventLoop.now().plus(refusedFor()));
      }
      for (String name : names) {
        if (cluster.machine(name) == null && !wasReleased.test(name)) {
          MachineType type = cluster.type(pool.type);
          Machine machine = new Machine(name, type, pool.zone, pool.spot, eventLoop.now());
          machine.rentedByThisLeader = true;
          machine.rentedForDeadlines = rental.surge;
          cluster.addMachine(machine);
        }
      }
    } catch (MalformedMessageException e) {
      log.warn("the cloud's answer to a rental is malformed");
    }
  }
}
