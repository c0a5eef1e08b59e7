package io.pineladder.fleet;

import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Rank;
import io.pineladder.model.Resources;
import io.pineladder.model.Team;
import io.pineladder.net.HttpCaller.Reply;
import io.pineladder.net.Timeline;
import io.pineladder.queue.Check;
import io.pineladder.queue.QueueEntry;
import io.pineladder.scheduling.Cluster;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.MalformedException;
import io.pineladder.zones.Zones;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What is rented: for what waits, and for what is likely to come while a machine boots. */
final class Renting {
  private static final Logger log = LoggerFactory.getLogger(Renting.class);
  private static final Duration REFUSED_FOR = Duration.ofSeconds(6);

  /** Work for idle time that has waited so long gets ordinary machines after all. */
  private static final Duration IDLE_TIME_WAITS = Duration.ofMinutes(10);

  /** Machines asked for at once: when hundreds are lost together, fifty a second are too few. */
  private static final int MOST_ASKED = 200;

  /** The part of the forecast kept ready for jobs that can wait for a machine to boot. */
  private static final double PATIENT_PART = 0.25;

  private final Cluster cluster;
  private final Scheduler scheduler;
  private final Timeline time;
  private final long term;
  private final Cloud cloud;
  private final BootTimes boots;

  /** Whether a machine has been returned already. */
  private final Predicate<String> wasReleased;

  private final Map<Pool, Instant> refused = new HashMap<>();
  private final List<Rental> rentals = new ArrayList<>();
  private final Forecast tightOrdinary = new Forecast();
  private final Forecast tightSpot = new Forecast();
  private final Forecast patientOrdinary = new Forecast();
  private final Forecast patientSpot = new Forecast();
  private double meanImageGb;
  private final Zones states;
  private long requests;

  /** What can be refused on its own. */
  private record Pool(String type, String zone, boolean spot) {}

  private static final class Rental {
    final String request;
    final Pool pool;
    final int count;
    boolean sent;

    Rental(String request, Pool pool, int count) {
      this.request = request;
      this.pool = pool;
      this.count = count;
    }
  }

  Renting(
      Cluster cluster,
      Scheduler scheduler,
      Timeline time,
      long term,
      Cloud cloud,
      BootTimes boots,
      Zones states,
      Predicate<String> wasReleased) {
    this.states = states;
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.time = time;
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
    return meanImageGb > 0 && fetchTime(type).compareTo(type.boot()) < 0;
  }

  /** How long a machine of the type fetches an image like most. */
  Duration fetchTime(MachineType type) {
    return Duration.ofMillis(
        (long) (meanImageGb / Math.max(1e-3, type.fetchGbPerSecond()) * 1000));
  }

  /** A job has come in: it counts for the forecast. */
  void accepted(Job job) {
    JobSpec spec = job.spec;
    MachineType type = cheapest(spec);
    if (type == null) {
      return;
    }
    Instant now = time.now();
    long perMachine = Math.max(1, spec.each().countIn(type.size()));
    double machines = (double) spec.tasks() / perMachine;
    // A job is patient if it can wait for a machine to boot and to fetch its image there.
    double fetch = spec.imageGb() / Math.max(1e-3, type.fetchGbPerSecond());
    Duration ready = type.boot().plusMillis((long) (fetch * 1000));
    boolean patient =
        spec.rank() != Rank.PRODUCTION
            && cluster.allowance(job, time.timeOfDay()).compareTo(ready) > 0;
    if (spec.spotAllowed()) {
      (patient ? patientSpot : tightSpot).add(machines, now);
    } else {
      (patient ? patientOrdinary : tightOrdinary).add(machines, now);
    }
    meanImageGb = meanImageGb == 0 ? spec.imageGb() : 0.9 * meanImageGb + 0.1 * spec.imageGb();
  }

  /** Machines' worth of room to have ready for what comes while another boots. */
  double headroom(boolean spot, MachineType type, Instant now) {
    double boot = type.boot().toMillis() / 1000.0;
    return spot
        ? tightSpot.rate(now) * boot + patientSpot.rate(now) * boot * PATIENT_PART
        : tightOrdinary.rate(now) * boot + patientOrdinary.rate(now) * boot * PATIENT_PART;
  }

  private MachineType cheapest(JobSpec spec) {
    MachineType best = null;
    double bestPrice = Double.MAX_VALUE;
    for (MachineType type : cluster.types()) {
      long count = spec.each().countIn(type.size());
      if (!spec.allowsType(type.name())
          || count == 0
          || (spec.zone() != null && !type.zones().contains(spec.zone()))) {
        continue;
      }
      double price = type.price() / Math.min(count, spec.tasks());
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
            .allMatch(a -> a.job.spec.savesWork() && isForIdleTime(a.job));
  }

  /** The part of a machine that is free. */
  double free(Machine machine) {
    return isIdle(machine) ? 1 : Math.max(0, 1 - machine.used.shareOf(machine.type.size()));
  }

  /** Machines wanted of a type, by what they may be. */
  private static final class Want {
    double spotAllowed;

    /** The part of those that an ordinary machine is worth to. */
    double pressing;

    double ordinary;
    final Map<String, Double> zones = new HashMap<>();
  }

  void rent(Instant now) {
    resend();
    if (rentals.stream().anyMatch(r -> r.sent)) {
      return;
    }
    if (cluster.jobs.isEmpty()) {
      return;
    }
    Map<MachineType, Want> wants = wants();
    for (MachineType type : cluster.types()) {
      Want want = wants.getOrDefault(type, new Want());
      double bootingSpot = 0;
      double bootingOrdinary = 0;
      double spareSpot = 0;
      double spareOrdinary = 0;
      for (Machine machine : cluster.machines()) {
        if (!machine.isOf(type)) {
          continue;
        }
        if (machine.state() == Machine.State.EXPECTED || machine.state() == Machine.State.HEARD) {
          double counts = boots.weight(machine, now);
          bootingSpot += machine.spot ? counts : 0;
          bootingOrdinary += machine.spot ? 0 : counts;
        } else if (machine.takesWork()) {
          double free = free(machine);
          spareSpot += machine.spot ? free : 0;
          spareOrdinary += machine.spot ? 0 : free;
        }
      }
      double wantOrdinary =
          Math.max(want.ordinary, headroom(false, type, now) - spareOrdinary) - bootingOrdinary;
      double overOrdinary = Math.max(0, -wantOrdinary);
      double wantSpot =
          Math.max(want.spotAllowed, headroom(true, type, now) - spareSpot)
              - bootingSpot
              - (want.spotAllowed > 0 ? overOrdinary : 0);
      String zone = heaviest(want.zones);
      double coming = boots.comingPart(type);
      if (wantOrdinary > 0.05) {
        ask(type, zone, false, (int) Math.ceil(wantOrdinary / coming), now);
      }
      if (wantSpot > 0.05) {
        int count = (int) Math.ceil(wantSpot / coming);
        // Nothing waits yet when it is for the forecast only: then no dearer kind is taken.
        boolean asked = ask(type, zone, true, count, now);
        double pressing = Math.min(wantSpot, want.pressing);
        if (!asked && pressing > 0.05 && wantOrdinary <= 0.05) {
          ask(type, zone, false, (int) Math.ceil(pressing / coming), now);
        }
      }
    }
  }

  private static String heaviest(Map<String, Double> zones) {
    return zones.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .map(Map.Entry::getKey)
        .orElse(null);
  }

  /** Machines' worth of tasks that found no room, within what their teams may use. */
  private Map<MachineType, Want> wants() {
    Map<MachineType, Want> wants = new HashMap<>();
    Map<String, Resources> planned = new HashMap<>();
    for (QueueEntry entry : scheduler.waiting()) {
      Job job = entry.job;
      JobSpec spec = job.spec;
      boolean lacksRoom =
          entry.rejectedBy() != null
              && switch (entry.rejectedBy()) {
                case FIT, PLACE, SPREAD, TOGETHER -> true;
                case TEAM_LIMIT, PREDECESSOR, FAILING, PACE -> false;
              };
      MachineType type = cheapest(spec);
      if (!lacksRoom || type == null || entry.place() == QueueEntry.Place.BACKOFF_ERROR) {
        continue;
      }
      if (job.atFault && entry.rejectedBy() != Check.PLACE) {
        // It is tried where there happens to be room.
        continue;
      }
      Team team = cluster.team(spec.team());
      Resources used = cluster.usage(spec.team());
      Resources before = planned.getOrDefault(spec.team(), Resources.NONE);
      int count = job.pending.cardinality();
      while (count > 0 && !team.allows(used.plus(before).plus(spec.each().times(count)))) {
        count = count > 64 ? count / 2 : count - 1;
      }
      planned.merge(spec.team(), spec.each().times(count), Resources::plus);
      double machines = (double) count / spec.each().countIn(type.size());
      Want want = wants.computeIfAbsent(type, t -> new Want());
      boolean avoidsSpot = cluster.avoidsSpot(job, time.timeOfDay()) && !isRefused(type, false);
      if (spec.spotAllowed() && !avoidsSpot) {
        want.spotAllowed += machines;
        want.pressing += isForIdleTime(job) ? 0 : machines;
      } else {
        want.ordinary += machines;
      }
      if (spec.zone() != null) {
        want.zones.merge(spec.zone(), machines, Double::sum);
      }
    }
    return wants;
  }

  /**
   * Work of the lowest rank of which nothing is expected: it fills what is idle and spot machines.
   * Found on colombo-ops: a guest's work for idle time had every ordinary machine rented.
   */
  boolean isForIdleTime(Job job) {
    Instant today = time.timeOfDay();
    return job.spec.rank() == Rank.LOW
        && job.spec.deadline() == null
        && cluster.hasNoObjective(job)
        && job.acceptedAt.plus(IDLE_TIME_WAITS).isAfter(today);
  }

  /** Whether the cloud has lately refused this kind in every zone. */
  private boolean isRefused(MachineType type, boolean spot) {
    Instant now = time.now();
    for (String zone : type.zones()) {
      Instant until = refused.get(new Pool(type.name(), zone, spot));
      if (until == null || until.isBefore(now)) {
        return false;
      }
    }
    return true;
  }

  private boolean ask(MachineType type, String zone, boolean spot, int count, Instant now) {
    // What is rented where nobody is heard serves nobody, and is money and calls lost.
    List<String> zones = new ArrayList<>(states.rentable(type.zones()));
    if (zone != null) {
      zones.retainAll(List.of(zone));
    }
    Map<String, Integer> there = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      if (machine.isOf(type) && machine.spot == spot) {
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
    boolean asked = false;
    for (int i = 0; i < open.size(); i++) {
      int ofPool = (int) Math.ceil((double) left / (open.size() - i));
      while (ofPool > 0) {
        int part = Math.min(ofPool, CloudWire.MOST_RENTED);
        Rental rental = new Rental("c-" + term + "-" + ++requests, open.get(i), part);
        if (!send(rental)) {
          break;
        }
        rentals.add(rental);
        ofPool -= part;
        left -= part;
        asked = true;
      }
    }
    return asked;
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
      if (Cloud.isRefusal(reply)) {
        refused.put(pool, time.now().plus(REFUSED_FOR));
      }
      return;
    }
    try {
      List<String> names = CloudWire.parseRented(reply.body());
      log.info("rented {} of {} {}", names.size(), rental.count, pool);
      if (names.size() < rental.count) {
        refused.put(pool, time.now().plus(REFUSED_FOR));
      }
      for (String name : names) {
        if (cluster.machine(name) == null && !wasReleased.test(name)) {
          MachineType type = cluster.type(pool.type);
          Machine machine = new Machine(name, type, pool.zone, pool.spot, time.now());
          machine.rentedHere = true;
          cluster.addMachine(machine);
        }
      }
    } catch (MalformedException e) {
      log.warn("the cloud's answer to a rental is malformed");
    }
  }
}
