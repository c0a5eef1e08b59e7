package io.pineladder.fleet;

import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Rank;
import io.pineladder.model.Resources;
import io.pineladder.model.Settings;
import io.pineladder.model.Team;
import io.pineladder.net.HttpCaller;
import io.pineladder.net.HttpCaller.Reply;
import io.pineladder.net.HttpCaller.Request;
import io.pineladder.net.Timeline;
import io.pineladder.queue.Check;
import io.pineladder.queue.QueueEntry;
import io.pineladder.scheduling.Cluster;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.RateBudget;
import io.pineladder.store.Records;
import io.pineladder.wire.CloudWire;
import io.pineladder.wire.MalformedException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Rents machines for what waits and what is likely to come, and returns those that are not needed. */
public final class Fleet {
  private static final Logger log = LoggerFactory.getLogger(Fleet.class);
  private static final Duration TICK = Duration.ofSeconds(1);
  private static final Duration TIMEOUT = Duration.ofSeconds(4);
  private static final Duration REFUSED_FOR = Duration.ofSeconds(6);

  /** A tick that comes so much late shows that this process stood still. */
  private static final Duration PAUSE = Duration.ofSeconds(2);

  /** Work for idle time that has waited so long gets ordinary machines after all. */
  private static final Duration IDLE_TIME_WAITS = Duration.ofMinutes(10);

  /** How long after a takeover workers are still on their way from node to node. */
  private static final Duration SETTLING = Duration.ofSeconds(15);

  private static final Duration TROUBLE_FOR = Duration.ofSeconds(2);

  /** So many times the room to have ready is plenty: idle machines need not wait for long. */
  private static final double SURPLUS = 2;

  /** An idle machine that is not needed even then waits for this part of the usual least time. */
  private static final int SURPLUS_PART = 3;

  /** Machines asked for at once: when hundreds are lost together, fifty a second are too few. */
  private static final int MOST_ASKED = 200;

  /** Machines that may come back are waited for a third of the time that another takes. */
  private static final int WAIT_PART = 3;

  /** The part of the forecast kept ready for jobs that can wait for a machine to boot. */
  private static final double PATIENT_PART = 0.25;

  private final Cluster cluster;
  private final Scheduler scheduler;
  private final Records records;
  private final HttpCaller http;
  private final Timeline time;
  private final long term;
  private final String address;
  private final Effects effects;
  private final RateBudget calls;
  private final Map<Pool, Instant> refused = new HashMap<>();
  private final Map<String, Instant> released = new LinkedHashMap<>();
  private final Set<String> toRelease = new LinkedHashSet<>();
  private final List<Rental> rentals = new ArrayList<>();
  private OperatorSettings operator;
  private boolean listing;
  private Instant listedAt = Instant.MIN;
  private boolean releasing;
  private Instant troubleUntil = Instant.MIN;
  private long requests;
  private boolean closed;
  private final Instant startedAt;
  private Instant tickedAt;

  /**
   * Since when this process has taken in what came for it. After it stood still, what its workers
   * sent is yet to be read, and their silence is its own.
   */
  private Instant listeningSince;

  private final Forecast tightOrdinary = new Forecast();
  private final Forecast tightSpot = new Forecast();
  private final Forecast patientOrdinary = new Forecast();
  private final Forecast patientSpot = new Forecast();
  private final BootTimes boots = new BootTimes();
  private double meanImageGb;

  /** What the fleet asks of the leader. */
  public interface Effects {
    boolean mayAct();

    void resign(String reason);

    /** Another node can do better. */
    void handOver(String reason);

    /** Asks a machine that is overdue whether it is there. */
    void probe(Machine machine);
  }

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

  public Fleet(
      Cluster cluster,
      Scheduler scheduler,
      Records records,
      HttpCaller http,
      Timeline time,
      long term,
      OperatorSettings operator,
      Effects effects) {
    this.cluster = cluster;
    this.scheduler = scheduler;
    this.records = records;
    this.http = http;
    this.time = time;
    this.term = term;
    this.address = cluster.settings.cloudAddress();
    this.operator = operator;
    this.effects = effects;
    double rps = cluster.settings.cloud().requestsPerSecond() * 0.85;
    this.calls = new RateBudget(rps, Math.max(1, rps * 2), time.now());
    this.startedAt = time.now();
    this.tickedAt = startedAt;
    this.listeningSince = startedAt;
  }

  public void configure(OperatorSettings next) {
    operator = next;
  }

  public void start() {
    // A new leader must not take images for small until the next job comes: it would return idle
    // machines with images that take minutes to fetch.
    meanImageGb =
        cluster.jobs.values().stream().mapToDouble(j -> j.spec.imageGb()).average().orElse(0);
    tick();
  }

  public void close() {
    closed = true;
  }

  private void tick() {
    if (closed) {
      return;
    }
    Instant now = time.now();
    if (now.isAfter(tickedAt.plus(TICK).plus(PAUSE))) {
      listeningSince = now;
    }
    tickedAt = now;
    if (effects.mayAct()) {
      list(now);
      cluster.spotRisk.observe(spotUp(), now);
      findSilent(now);
      findRelayed(now);
      scheduler.failures().review(now);
      retire(now);
      sendReleases();
      rent(now);
    }
    time.after(TICK, this::tick);
  }

  private int spotUp() {
    int count = 0;
    for (Machine machine : cluster.machines()) {
      count += machine.spot && machine.state() == Machine.State.CONFIRMED ? 1 : 0;
    }
    return count;
  }

  private boolean call(Request request, Consumer<Reply> onReply) {
    Instant now = time.now();
    if (calls.available(now) < 1 || now.isBefore(troubleUntil)) {
      return false;
    }
    calls.take(1, now);
    http.call(
        request,
        reply -> {
          if (!reply.is(200) && !reply.is(400) && !isRefusal(reply)) {
            troubleUntil = time.now().plus(TROUBLE_FOR);
          }
          if (!closed) {
            onReply.accept(reply);
          }
        });
    return true;
  }

  private static boolean isRefusal(Reply reply) {
    return reply.is(503) && new String(reply.body(), StandardCharsets.UTF_8)
        .contains("no capacity");
  }

  // ---- what there is

  private void list(Instant now) {
    // A list of many pages takes its part of the calls; a short one is asked for as often as it ages.
    long pages = 1 + cluster.machines().size() / CloudWire.PAGE;
    Duration every = cluster.settings.cloud().listLag().dividedBy(2).plusSeconds(pages / 2);
    if (listing || now.isBefore(listedAt.plus(every))) {
      return;
    }
    listing = listPage("", now);
  }

  private boolean listPage(String after, Instant begun) {
    String path = "/rentals?page=" + CloudWire.PAGE + (after.isEmpty() ? "" : "&since=" + after);
    Instant sent = time.now();
    return call(
        Request.get(address, path, TIMEOUT),
        reply -> {
          listing = false;
          if (!reply.is(200)) {
            return;
          }
          try {
            CloudWire.Page page = CloudWire.parsePage(reply.body());
            page.machines().forEach(this::listed);
            boolean more = page.more() && !page.machines().isEmpty();
            String last = more ? page.machines().get(page.machines().size() - 1).name() : null;
            releaseMissing(page, after, last, sent);
            if (more) {
              listing = listPage(last, begun);
            } else {
              listedAt = begun;
            }
          } catch (MalformedException e) {
            log.warn("the machine list is malformed: {}", e.getMessage());
          }
        });
  }

  /**
   * A machine that was listed stays listed until it is gone. One that is missing from a list too
   * young to be from before it was listed has most likely been taken; its tasks wait for the proof,
   * which its return gives at once. Without this, work on machines taken without a notice waited
   * until they had been silent for long.
   *
   * @param last the last name of the page, or null when no more follow
   */
  private void releaseMissing(CloudWire.Page page, String after, String last, Instant sent) {
    Set<String> names = new HashSet<>();
    page.machines().forEach(listed -> names.add(listed.name()));
    Instant before = sent.minus(cluster.settings.cloud().listLag().multipliedBy(2)).minusSeconds(1);
    List<Machine> missing = new ArrayList<>();
    for (Machine machine : cluster.machinesBetween(after, last)) {
      Instant known = machine.recorded ? startedAt : machine.listedAt;
      boolean up = machine.state() != Machine.State.RELEASING && !names.contains(machine.name);
      if (up && known != null && known.isBefore(before)) {
        missing.add(machine);
      }
    }
    if (!missing.isEmpty()) {
      log.info("{} machines are no longer listed", missing.size());
      for (Machine machine : missing) {
        if (machine.spot && machine.takenAt == null) {
          cluster.spotRisk.lost();
        }
        release(machine);
      }
    }
  }

  private void listed(CloudWire.Listed listed) {
    if (released.containsKey(listed.name())) {
      return;
    }
    Machine machine = cluster.machine(listed.name());
    if (machine == null) {
      MachineType type = cluster.type(listed.type());
      if (type == null) {
        return;
      }
      Instant since = time.now().minus(listed.age());
      machine = new Machine(listed.name(), type, listed.zone(), listed.spot(), since);
      machine.address = listed.address();
      cluster.addMachine(machine);
    }
    if (machine.address == null) {
      machine.address = listed.address();
    }
    if (machine.listedAt == null) {
      machine.listedAt = time.now();
    }
    machine.listedRunning |= listed.life() == CloudWire.Life.RUNNING;
    if (listed.life() == CloudWire.Life.FAILED && !machine.failed) {
      machine.failed = true;
      log.info("machine {} has failed", machine);
      release(machine);
    }
  }

  /** How long a machine may be silent: a report's time, a lost response and another node's try. */
  private Duration silence() {
    Duration report = cluster.settings.workers().report();
    return report.plus(report.dividedBy(4)).plusSeconds(6);
  }

  /** How the machines of one zone are heard. */
  private static final class ZoneSilence {
    int up;
    int overdue;
    int heardLately;

    boolean isCut() {
      return overdue >= 3 && overdue * 3 > up && heardLately * 5 < up;
    }

    /** Many at once are cut off or hang rather than have stopped one by one. */
    boolean isManyAtOnce() {
      return overdue >= 3 && overdue * 20 > up;
    }
  }

  /**
   * Machines that have stopped reporting are cut off by returning them, which is the proof that
   * their tasks are gone. When nearly all of a zone is silent the fault is likely between us and
   * them, and a node in the zone may keep their workers' leases; then they get that time. Hundreds of
   * machines that are silent while others of their zone are heard are no such cut: their leases end,
   * and the longer they are waited for the later their tasks start elsewhere.
   */
  private void findSilent(Instant now) {
    Duration allowed = silence();
    // A whole zone falls silent one report after the other: what counts for a cut is who is late,
    // or the first ones would be given up before the last ones are missed.
    Duration overdue = allowed.minusSeconds(4);
    // In a zone that is cut all fall silent at once, so when the first is missed none was heard since.
    Duration lately = overdue.minus(cluster.settings.workers().report());
    Map<String, ZoneSilence> zones = new HashMap<>();
    List<Machine> silent = new ArrayList<>();
    int up = 0;
    for (Machine machine : cluster.machines()) {
      Instant since = silentSince(machine);
      if (since == null) {
        continue;
      }
      up++;
      ZoneSilence zone = zones.computeIfAbsent(machine.zone, z -> new ZoneSilence());
      zone.up++;
      zone.heardLately += machine.heardAt != null && machine.heardAt.plus(lately).isAfter(now) ? 1 : 0;
      if (since.plus(overdue).isBefore(now)) {
        zone.overdue++;
        if (now.getEpochSecond() % 2 == 0) {
          effects.probe(machine);
        }
      }
      if (since.plus(allowed).isBefore(now)) {
        silent.add(machine);
        if (machine.state() == Machine.State.CONFIRMED) {
          machine.moveTo(Machine.State.SILENT);
          cluster.refresh(machine);
          log.debug("machine {} is silent", machine);
        }
      }
    }
    boolean heardBefore = silent.stream().anyMatch(m -> m.heardAt != null);
    if (up >= 2 && silent.size() == up && heardBefore) {
      // No worker reaches this node any more, while others may reach another. A successor that
      // hears none either keeps its term, or machines that all died would never be given up.
      effects.resign("no worker is heard");
      return;
    }
    Duration lease = cluster.settings.workers().lease();
    for (Machine machine : silent) {
      ZoneSilence zone = zones.get(machine.zone);
      Duration patience =
          zone.isCut()
              ? lease.multipliedBy(2)
              : zone.isManyAtOnce() && isWorthWaiting(machine, lease.minus(allowed))
                  ? lease
                  : Duration.ZERO;
      if (isUrgent(machine, now) || silentSince(machine).plus(patience).isBefore(now)) {
        release(machine);
      }
    }
  }

  /**
   * Most workers heard of late came through peers: they do not reach this node, but others. Orders
   * then go out only with reports handed on, so a peer serves better as the leader. Found on
   * colombo-ops, where a leader cut from its workers alone went on for a minute.
   */
  private void findRelayed(Instant now) {
    if (startedAt.plus(SETTLING).isAfter(now)) {
      return;
    }
    Instant from = now.minus(cluster.settings.workers().report());
    int heard = 0;
    int relayed = 0;
    for (Machine machine : cluster.machines()) {
      if (machine.state() == Machine.State.CONFIRMED && machine.heardAt.isAfter(from)) {
        heard++;
        relayed += machine.relayed ? 1 : 0;
      }
    }
    if (relayed >= 3 && relayed * 2 > heard) {
      effects.handOver("workers reach its peers and not this node");
    }
  }

  /**
   * Whether a machine that may come back with its tasks is worth waiting for so much longer: having
   * another ready, with an image like most, takes several times as long.
   */
  private boolean isWorthWaiting(Machine machine, Duration longer) {
    Duration ready = machine.type.boot().plus(fetchTime(machine.type));
    return longer.multipliedBy(WAIT_PART).compareTo(ready) < 0;
  }

  /** How long a machine of the type fetches an image like most. */
  private Duration fetchTime(MachineType type) {
    return Duration.ofMillis(
        (long) (meanImageGb / Math.max(1e-3, type.fetchGbPerSecond()) * 1000));
  }

  /** A cancelled job's task is still there and its time is running out. */
  private boolean isUrgent(Machine machine, Instant now) {
    Duration half = cluster.settings.workers().cancel().dividedBy(2);
    for (Attempt attempt : machine.attempts.values()) {
      if (attempt.job.endStored
          && attempt.holdsRoom()
          && attempt.killedAt != null
          && attempt.killedAt.plus(half).isBefore(now)) {
        return true;
      }
    }
    return false;
  }

  /** Since when nothing was heard of a machine that should report, or null if it need not yet. */
  private Instant silentSince(Machine machine) {
    Instant since = unheardSince(machine);
    return since == null || since.isAfter(listeningSince) ? since : listeningSince;
  }

  private Instant unheardSince(Machine machine) {
    return switch (machine.state()) {
      case HEARD, CONFIRMED, SILENT -> machine.heardAt;
      case EXPECTED -> {
        if (machine.listedRunning || !machine.attempts.isEmpty()) {
          Instant from = machine.since.isAfter(startedAt) ? machine.since : startedAt;
          yield machine.recorded ? startedAt : from.plusSeconds(15);
        }
        yield null;
      }
      case RELEASING, GONE -> null;
    };
  }

  /** Whether a machine has been returned: what still comes from it is late. */
  public boolean wasReleased(String machine) {
    return released.containsKey(machine);
  }

  // ---- returning

  /** Asks the cloud to take the machine away; only its answer proves that the tasks are gone. */
  public void release(Machine machine) {
    if (machine.state() == Machine.State.RELEASING || machine.state() == Machine.State.GONE) {
      return;
    }
    log.debug("returning machine {} ({}, {})", machine, machine.state(), machine.attempts.size());
    machine.moveTo(Machine.State.RELEASING);
    cluster.refresh(machine);
    toRelease.add(machine.name);
    sendReleases();
  }

  private void sendReleases() {
    if (releasing || toRelease.isEmpty() || !effects.mayAct()) {
      return;
    }
    List<String> names =
        toRelease.stream().limit(CloudWire.MOST_RELEASED).toList();
    releasing =
        call(
            Request.post(address, "/rentals/release", CloudWire.release(names), TIMEOUT),
            reply -> {
              releasing = false;
              if (reply.is(200)) {
                names.forEach(this::gone);
              }
            });
  }

  private void gone(String name) {
    toRelease.remove(name);
    released.put(name, time.now());
    if (released.size() > 2000) {
      released.remove(released.keySet().iterator().next());
    }
    Machine machine = cluster.removeMachine(name);
    if (machine == null) {
      return;
    }
    machine.moveTo(Machine.State.GONE);
    scheduler.failures().forget(machine);
    boots.forget(machine);
    List<Attempt> lost = List.copyOf(machine.attempts.values());
    records.machineGone(lost);
    for (Attempt attempt : lost) {
      scheduler.gone(attempt, "the machine was returned");
    }
  }

  /** Returns machines that are to go: faulty or never up, or idle for long enough. */
  private void retire(Instant now) {
    // Without any job there is nothing to be ready for.
    boolean quiet = cluster.jobs.isEmpty();
    Map<Boolean, Double> spare = new HashMap<>();
    List<Machine> idle = new ArrayList<>();
    for (Machine machine : cluster.machines()) {
      boots.observe(machine, now);
      switch (machine.state()) {
        case EXPECTED -> {
          if (!machine.listedRunning
              && machine.attempts.isEmpty()
              && boots.isLost(machine, now)) {
            log.info("machine {} never came up", machine);
            release(machine);
          }
        }
        case CONFIRMED -> {
          if (!isIdle(machine)) {
            machine.idleSince = null;
          } else if (machine.idleSince == null) {
            machine.idleSince = now;
          }
          if (machine.draining && machine.attempts.isEmpty()) {
            release(machine);
          } else if (machine.takesWork()) {
            spare.merge(machine.spot, free(machine), Double::sum);
            Duration least = operator.idleRelease().dividedBy(SURPLUS_PART);
            if (machine.idleSince != null && machine.idleSince.plus(least).isBefore(now)) {
              idle.add(machine);
            }
          }
        }
        default -> {}
      }
    }
    idle.sort(Comparator.comparing(m -> m.idleSince));
    for (Machine machine : idle) {
      double left = spare.get(machine.spot) - 1;
      double ready = headroom(machine.spot, machine.type, now);
      boolean surplus = roomIsCheap(machine.type) && left >= SURPLUS * ready + 1;
      Duration keep = quiet ? operator.idleRelease() : keepIdle(machine.type);
      boolean waited = machine.idleSince.plus(keep).isBefore(now);
      if (quiet ? waited : surplus || (waited && left >= ready)) {
        spare.put(machine.spot, left);
        empty(machine);
      }
    }
  }

  /** Returns a machine that is not needed; work for idle time saves first and goes elsewhere. */
  private void empty(Machine machine) {
    if (machine.attempts.isEmpty()) {
      release(machine);
      return;
    }
    machine.draining = true;
    cluster.refresh(machine);
    List.copyOf(machine.attempts.values()).forEach(scheduler::displace);
  }

  /**
   * Whether nothing is there that an ordinary machine is worth to: work for idle time fills it, but
   * does not keep it. Found on colombo-ops, where a guest's kept a thousand rented.
   */
  private boolean isIdle(Machine machine) {
    if (machine.attempts.isEmpty()) {
      return true;
    }
    return !machine.spot
        && machine.attempts.values().stream()
            .allMatch(a -> a.job.spec.savesWork() && isForIdleTime(a.job));
  }

  private double free(Machine machine) {
    return isIdle(machine) ? 1 : Math.max(0, 1 - machine.used.shareOf(machine.type.size()));
  }

  /**
   * Whether room is easily had again: a usual image is fetched sooner than a machine boots, and
   * machines boot as they should.
   */
  private boolean roomIsCheap(MachineType type) {
    return meanImageGb > 0
        && fetchTime(type).compareTo(type.boot()) < 0
        && boots.areUsual(type);
  }

  /** An idle machine is kept as long as having one ready again would take. */
  private Duration keepIdle(MachineType type) {
    Duration again = boots.usual(type).plus(fetchTime(type));
    return again.compareTo(operator.idleRelease()) > 0 ? again : operator.idleRelease();
  }

  // ---- renting

  /** A job has come in: it counts for the forecast. */
  public void accepted(Job job) {
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
  private double headroom(boolean spot, MachineType type, Instant now) {
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

  /** Machines wanted of a type, by what they may be. */
  private static final class Want {
    double spotAllowed;

    /** The part of those that an ordinary machine is worth to. */
    double pressing;

    double ordinary;
    final Map<String, Double> zones = new HashMap<>();
  }

  private void rent(Instant now) {
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
  private boolean isForIdleTime(Job job) {
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
    List<String> zones = zone == null ? new ArrayList<>(type.zones()) : List.of(zone);
    Map<String, Integer> there = new HashMap<>();
    for (Machine machine : cluster.machines()) {
      if (machine.isOf(type) && machine.spot == spot) {
        there.merge(machine.zone, 1, Integer::sum);
      }
    }
    zones = new ArrayList<>(zones);
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
        call(
            Request.post(
                address,
                "/rentals",
                CloudWire.rent(rental.request, pool.type, pool.zone, pool.spot, rental.count),
                TIMEOUT),
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
      if (isRefusal(reply)) {
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
        if (cluster.machine(name) == null && !released.containsKey(name)) {
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
