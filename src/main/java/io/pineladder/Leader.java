package io.pineladder;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.fleet.Fleet;
import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.OperatorSettings;
import io.pineladder.model.Settings;
import io.pineladder.net.HttpCaller;
import io.pineladder.net.Timeline;
import io.pineladder.recovery.Takeovers;
import io.pineladder.scheduling.Cluster;
import io.pineladder.scheduling.Scheduler;
import io.pineladder.store.Committer;
import io.pineladder.store.Keys;
import io.pineladder.store.Mutation;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.JobWire;
import io.pineladder.wire.MalformedException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import io.pineladder.wire.WorkerWire;
import io.pineladder.workers.Workers;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of leadership, from reading the store to its end. */
public final class Leader {
  private static final Logger log = LoggerFactory.getLogger(Leader.class);
  private static final Duration WATCH = Duration.ofSeconds(20);

  /** How long a leader that still reads the store keeps workers' leases without orders. */
  private static final Duration LOADING_KEEPS = Duration.ofSeconds(2);

  private static final Duration RETRY = Duration.ofMillis(300);

  /** Where a term stands. */
  public enum State {
    /** Reading what earlier leaders stored; decides nothing yet. */
    LOADING,
    LEADING,
    OVER
  }

  /** What the node does for its leader. */
  interface Host {
    /** The lease holds now. */
    boolean mayAct();

    void resign(String reason);

    /** Others can do what this node cannot: the term ends, and this node does not stand at once. */
    void handOver(String reason);

    void superseded();

    void onFinal(String job, JobWire.Status status);

    List<MachineType> types();

    /** Stored settings were read. */
    void onConf(List<StoreWire.Entry> entries);
  }

  private final Settings settings;
  private final StoreClient store;
  private final Timeline time;
  private final long term;
  private final Host host;
  private final Takeovers.Takeover takeover;
  private final Cluster cluster;
  private final Committer committer;
  private final Records records;
  private final Scheduler scheduler;
  private final Workers workers;
  private final Fleet fleet;
  private final Instant begunAt;
  private State state = State.LOADING;

  /** Machine types learned while loading, or null. */
  private List<MachineType> typesToStore;

  /** How many jobs have left the memory for good; a read that saw one before is too old then. */
  private long removals;

  /** Machines recorded by earlier leaders that this one has heard. */
  private final Set<Machine> heardAgain = new HashSet<>();

  /** Submissions being stored, with those who wait for the answer. */
  private final Map<String, List<Consumer<JobWire.Status>>> accepting = new HashMap<>();

  Leader(
      Settings settings,
      StoreClient store,
      HttpCaller http,
      Timeline time,
      long term,
      OperatorSettings operator,
      Takeovers.Takeover takeover,
      Host host) {
    this.settings = settings;
    this.store = store;
    this.time = time;
    this.term = term;
    this.begunAt = time.now();
    this.host = host;
    this.takeover = takeover;
    this.cluster = new Cluster(settings);
    cluster.setTypes(host.types());
    this.committer = new Committer(store, time, term, host::resign);
    this.scheduler =
        new Scheduler(
            cluster,
            time,
            term,
            operator,
            new Scheduler.Effects() {
              @Override
              public boolean mayAct() {
                return Leader.this.mayAct();
              }

              @Override
              public void ordersDue(Machine machine) {
                Leader.this.ordersDue(machine);
              }

              @Override
              public void resign(String reason) {
                host.resign(reason);
              }
            });
    this.records =
        new Records(
            settings.store().valueBytes(),
            time,
            committer::submit,
            new Records.Listener() {
              @Override
              public void onPlacementStored(Attempt attempt) {
                takeover.passed(Takeovers.Phase.FIRST_PLACEMENT);
                scheduler.onPlacementStored(attempt);
              }

              @Override
              public void onEndStored(Job job) {
                Leader.this.onEndStored(job);
              }

              @Override
              public void onRemoved(Job job) {
                removals++;
                cluster.removeJob(job);
              }

              @Override
              public void onStoredTwice(Job job, Runnable again) {
                Leader.this.onStoredTwice(job, again);
              }
            });
    scheduler.useRecords(records);
    BooleanSupplier mayAct = this::mayAct;
    this.workers =
        new Workers(
            cluster,
            scheduler,
            http,
            time,
            term,
            mayAct,
            new Workers.Listener() {
              @Override
              public void onSuperseded(long token) {
                log.warn("a worker has seen token {}, ours is {}", token, term);
                host.superseded();
              }

              @Override
              public boolean isGone(String machine) {
                return fleet.wasReleased(machine);
              }

              @Override
              public void onMachine(Machine machine) {
                log.debug("machine {} reports", machine);
              }

              @Override
              public void onUnprovable(Machine machine) {
                time.after(Duration.ZERO, () -> fleet.release(machine));
              }
            });
    this.fleet =
        new Fleet(
            cluster,
            scheduler,
            records,
            http,
            time,
            term,
            operator,
            new Fleet.Effects() {
              @Override
              public boolean mayAct() {
                return Leader.this.mayAct();
              }

              @Override
              public void resign(String reason) {
                host.resign(reason);
              }

              @Override
              public void handOver(String reason) {
                host.handOver(reason);
              }

              @Override
              public void probe(Machine machine) {
                workers.probe(machine);
              }
            });
  }

  private void moveTo(State next) {
    if (state != State.OVER) {
      state = next;
    }
  }

  public State state() {
    return state;
  }

  public long term() {
    return term;
  }

  public Cluster cluster() {
    return cluster;
  }

  public Scheduler scheduler() {
    return scheduler;
  }

  public int waitingWrites() {
    return committer.waiting();
  }

  private boolean mayAct() {
    return state == State.LEADING && host.mayAct();
  }

  private void ordersDue(Machine machine) {
    workers.ordersDue(machine);
  }

  private void onEndStored(Job job) {
    host.onFinal(
        job.spec.id(),
        job.state() == Job.State.DONE ? JobWire.Status.DONE : JobWire.Status.CANCELLED);
    scheduler.onEndStored(job);
  }

  void close() {
    moveTo(State.OVER);
    takeover.close();
    committer.close();
    fleet.close();
  }

  /** The lease was in doubt and holds after all. */
  void onCertain() {
    scheduler.kick();
  }

  void configure(OperatorSettings operator) {
    scheduler.queue().configure(operator);
    fleet.configure(operator);
  }

  void onTypes(List<MachineType> types) {
    cluster.setTypes(types);
    scheduler.kick();
  }

  /** Stores the machine types, so that a cloud outage does not stop submissions. */
  void storeTypes(List<MachineType> types) {
    if (state != State.LEADING) {
      // They came while the store is still being read. Forgotten here, no other node would learn
      // them, and none could accept a job without a leader.
      typesToStore = types;
      return;
    }
    committer.submit(
        Mutation.of(
            Mutation.Priority.TIDY,
            List.of(new Mutation.Write(Keys.TYPES, () -> RecordWire.types(types))),
            () -> {}));
  }

  /** Stores what operators have set. */
  public void storeOperator(OperatorSettings operator, Runnable onStored) {
    committer.submit(
        Mutation.of(
            Mutation.Priority.ACCEPT,
            List.of(new Mutation.Write(Keys.OPERATOR, () -> RecordWire.operator(operator))),
            onStored));
  }

  // ---- loading

  /** Reads everything that earlier leaders stored; their late transactions can no longer apply. */
  void load() {
    if (state != State.LOADING) {
      return;
    }
    BooleanSupplier wanted = () -> state == State.LOADING;
    store.list(
        Keys.CONF,
        wanted,
        conf -> {
          conf.entries().forEach(e -> committer.known(e.key(), e.version()));
          host.onConf(conf.entries());
          loadRecords(wanted);
        });
  }

  private void loadRecords(BooleanSupplier wanted) {
    // The inbox is read before the jobs, so that a job is in the one or the other.
    Stored stored = new Stored();
    List<Step> steps =
        List.of(
            new Step(Keys.INBOX, listing -> stored.inbox = listing),
            new Step(Keys.JOB, listing -> stored.jobs = listing),
            new Step(Keys.ACCEPTED, listing -> stored.accepted = listing),
            new Step(Keys.DONE, listing -> stored.done = listing),
            new Step(Keys.PLACED, listing -> stored.placed = listing),
            new Step(Keys.IMAGES, listing -> stored.images = listing));
    loadStep(steps, 0, wanted, () -> build(stored));
  }

  private record Step(String prefix, Consumer<StoreClient.Listing> onRead) {}

  /** What earlier leaders stored. */
  private static final class Stored {
    StoreClient.Listing inbox;
    StoreClient.Listing jobs;
    StoreClient.Listing accepted;
    StoreClient.Listing done;
    StoreClient.Listing placed;
    StoreClient.Listing images;
  }

  private void loadStep(List<Step> steps, int from, BooleanSupplier wanted, Runnable onDone) {
    if (from == steps.size()) {
      onDone.run();
      return;
    }
    Step step = steps.get(from);
    store.list(
        step.prefix,
        wanted,
        listing -> {
          step.onRead.accept(listing);
          loadStep(steps, from + 1, wanted, onDone);
        });
  }

  /** A page's entry with the page it stands in. */
  private record Paged<T>(String page, T entry) {}

  /** Reads one kind of page entry. */
  private interface EntryReader<T> {
    T read(JsonNode entry) throws MalformedException;
  }

  private <T> List<Paged<T>> readPages(StoreClient.Listing listing, EntryReader<T> reader)
      throws MalformedException {
    List<Paged<T>> found = new ArrayList<>();
    for (StoreWire.Entry page : listing.entries()) {
      committer.known(page.key(), page.version());
      for (JsonNode entry : RecordWire.entries(page.value())) {
        found.add(new Paged<>(page.key(), reader.read(entry)));
      }
    }
    return found;
  }

  private void build(Stored stored) {
    Map<String, Job> found = new HashMap<>();
    List<Job> ordered = new ArrayList<>();
    cluster.setTypes(host.types());
    try {
      List<Paged<RecordWire.Placement>> placements =
          readPages(stored.placed, RecordWire::parsePlacement);
      for (Paged<RecordWire.Placement> placement : placements) {
        if (cluster.type(placement.entry.type()) == null) {
          log.warn("machine {} is of a type not known yet", placement.entry.machine());
          time.after(Duration.ofSeconds(1), this::load);
          return;
        }
      }
      stored.accepted.entries().forEach(page -> records.knownJobs(page.key()));
      for (Paged<JsonNode> record : readPages(stored.accepted, entry -> entry)) {
        Job job = toJob(record.entry);
        records.knownJob(record.page, job, record.entry);
        found.put(job.spec.id(), job);
        ordered.add(job);
      }
      for (StoreWire.Entry entry : stored.jobs.entries()) {
        committer.known(entry.key(), entry.version());
        Job job = toJob(entry.value());
        Job paged = found.putIfAbsent(job.spec.id(), job);
        if (paged == null) {
          ordered.add(job);
        } else {
          // A node that did not reach the leader of the time stored it again.
          records.knownTwice(paged, true);
        }
      }
      restoreDone(stored.done, found);
      // The pages are in the order of their keys; what was cached of a machine is a guess anyway.
      for (Paged<RecordWire.StoredImages> images :
          readPages(stored.images, RecordWire::parseImages)) {
        records.knownImages(images.page);
        cluster.expectImages(images.entry.machine(), images.entry.images());
      }
      restorePlacements(placements, found);
      stored.placed.entries().forEach(page -> records.knownPlacements(page.key()));
    } catch (MalformedException e) {
      // Leading on half a memory could break every rule.
      log.error("a stored record cannot be read: {}", e.getMessage());
      host.resign("a stored record cannot be read");
      return;
    }
    ordered.sort(
        (a, b) -> {
          int byTime = a.acceptedAt.compareTo(b.acceptedAt);
          return byTime != 0 ? byTime : a.spec.id().compareTo(b.spec.id());
        });
    moveTo(State.LEADING);
    takeover.passed(Takeovers.Phase.STORE_READ);
    takeover.awaits(cluster.machines().size());
    for (Job job : ordered) {
      scheduler.add(job);
      if (job.isActive() && job.done.cardinality() == job.spec.tasks()) {
        job.moveTo(Job.State.DONE);
        records.end(job);
      }
    }
    if (typesToStore != null) {
      storeTypes(typesToStore);
    }
    log.info(
        "term {} begins with {} jobs and {} machines",
        term,
        cluster.jobs.size(),
        cluster.machines().size());
    stored.inbox.entries().forEach(this::takeIn);
    watchInbox(stored.inbox.revision());
    fleet.start();
    scheduler.kick();
  }

  private void restoreDone(StoreClient.Listing listing, Map<String, Job> jobs)
      throws MalformedException {
    listing.entries().forEach(page -> records.knownCompletions(page.key()));
    List<Paged<RecordWire.StoredDone>> all = readPages(listing, RecordWire::parseDone);
    all.removeIf(done -> !jobs.containsKey(done.entry.job()));
    for (Paged<RecordWire.StoredDone> done : all) {
      Job job = jobs.get(done.entry.job());
      job.done.or(done.entry.done());
    }
    for (Paged<RecordWire.StoredDone> done : all) {
      records.knownDone(done.page, jobs.get(done.entry.job()), done.entry);
    }
  }

  /**
   * Takes up the placements of tasks that are still wanted. An attempt is stored only when all
   * earlier ones of its task are proven gone, so of a task's placements those with the highest
   * number count; the others are merely old. So is one whose job is gone, since a job's record goes
   * only when none of its tasks can be anywhere, and one of a task that is complete.
   */
  private void restorePlacements(
      List<Paged<RecordWire.Placement>> placements, Map<String, Job> jobs) {
    Map<String, Long> newest = new HashMap<>();
    for (Paged<RecordWire.Placement> paged : placements) {
      RecordWire.Placement placement = paged.entry;
      newest.merge(placement.job() + "/" + placement.task(), placement.attempt(), Math::max);
    }
    Instant now = time.now();
    for (Paged<RecordWire.Placement> paged : placements) {
      RecordWire.Placement placement = paged.entry;
      Job job = jobs.get(placement.job());
      if (job == null
          || placement.task() >= job.spec.tasks()
          || job.done.get(placement.task())
          || newest.get(placement.job() + "/" + placement.task()) != placement.attempt()) {
        continue;
      }
      Machine machine = cluster.machine(placement.machine());
      if (machine == null) {
        MachineType type = cluster.type(placement.type());
        machine =
            new Machine(placement.machine(), type, placement.zone(), placement.spot(), now);
        machine.address = placement.address();
        machine.recorded = true;
        cluster.addMachine(machine);
      }
      String key = Machine.key(placement.job(), placement.task(), placement.attempt());
      if (!machine.attempts.containsKey(key)) {
        Attempt attempt =
            cluster.addAttempt(
                job,
                placement.task(),
                placement.attempt(),
                machine,
                now,
                Attempt.State.RECORDED);
        records.knownPlacement(paged.page, attempt);
      }
    }
  }

  private static Job toJob(JsonNode record) throws MalformedException {
    RecordWire.StoredJob stored = RecordWire.parseJob(record);
    Job job = new Job(stored.spec(), stored.acceptedAt(), stored.state());
    job.atFault = stored.atFault();
    return job;
  }

  /** Jobs that other nodes accepted while they could reach no leader. */
  private void watchInbox(long after) {
    if (state != State.LEADING) {
      return;
    }
    store.watch(
        Keys.INBOX,
        after,
        WATCH,
        reply -> {
          if (state != State.LEADING) {
            return;
          }
          try {
            if (reply.is(200)) {
              StoreWire.Changes changes = StoreWire.parseChanges(reply.body());
              changes.entries().stream().filter(e -> e.value() != null).forEach(this::takeIn);
              watchInbox(changes.revision());
              return;
            }
            if (reply.is(410)) {
              store.list(
                  Keys.INBOX,
                  () -> state == State.LEADING,
                  inbox -> {
                    inbox.entries().forEach(this::takeIn);
                    watchInbox(inbox.revision());
                  });
              return;
            }
          } catch (MalformedException e) {
            log.warn("the inbox cannot be followed: {}", e.getMessage());
          }
          time.after(RETRY, () -> watchInbox(after));
        });
  }

  private void takeIn(StoreWire.Entry entry) {
    if (state != State.LEADING) {
      return;
    }
    String id = entry.key().substring(Keys.INBOX.length());
    committer.known(entry.key(), entry.version());
    adopt(
        id,
        lookup -> {
          if (lookup == null) {
            // Without a certain answer the job may still be unknown here.
            time.after(RETRY, () -> takeIn(entry));
            return;
          }
          committer.submit(
              Mutation.of(
                  Mutation.Priority.TIDY,
                  List.of(new Mutation.Write(entry.key(), () -> null)),
                  () -> {}));
        });
  }

  /** Reads a job that is in the store but not in memory; null is no certain answer. */
  private void adopt(String id, Consumer<Lookup> onDone) {
    if (cluster.jobs.containsKey(id)) {
      onDone.accept(new Lookup(cluster.jobs.get(id), null));
      return;
    }
    if (accepting.containsKey(id)) {
      // Whether it is stored in a page will show; a record of its own may be a second copy.
      onDone.accept(null);
      return;
    }
    long before = removals;
    store.read(
        Keys.JOB + id,
        read -> {
          if (state != State.LEADING || !read.certain() || accepting.containsKey(id)) {
            onDone.accept(null);
            return;
          }
          Job known = cluster.jobs.get(id);
          if (known != null) {
            onDone.accept(new Lookup(known, null));
            return;
          }
          if (read.found() && removals != before) {
            // It may be a job that has left meanwhile: taken up again it would end twice.
            adopt(id, onDone);
            return;
          }
          if (!read.found()) {
            readEnd(id, onDone);
            return;
          }
          try {
            Job job = toJob(read.entry().value());
            committer.known(read.entry().key(), read.entry().version());
            scheduler.add(job);
            fleet.accepted(job);
            log.debug("job {} was accepted elsewhere", id);
            onDone.accept(new Lookup(job, null));
          } catch (MalformedException e) {
            log.error("job {} cannot be read: {}", id, e.getMessage());
            onDone.accept(null);
          }
        });
  }

  /** Looks for the copy of a job's record that another node has stored, so that it goes too. */
  private void onStoredTwice(Job job, Runnable again) {
    String key = Keys.JOB + job.spec.id();
    store.read(
        key,
        read -> {
          if (state != State.LEADING) {
            return;
          }
          if (!read.certain()) {
            time.after(RETRY, () -> onStoredTwice(job, again));
            return;
          }
          if (read.found()) {
            committer.known(key, read.entry().version());
          }
          records.knownTwice(job, read.found());
          again.run();
        });
  }

  /** What a look into the store gave: a live job, a final state, or neither. */
  private record Lookup(Job job, JobWire.Status ended) {}

  private void readEnd(String id, Consumer<Lookup> onDone) {
    store.read(
        Keys.END + id,
        read -> {
          if (!read.certain()) {
            onDone.accept(null);
            return;
          }
          if (!read.found()) {
            onDone.accept(new Lookup(null, null));
            return;
          }
          try {
            JobWire.Status status = toStatus(RecordWire.parseEnd(read.entry().value()));
            host.onFinal(id, status);
            onDone.accept(new Lookup(null, status));
          } catch (MalformedException e) {
            onDone.accept(null);
          }
        });
  }

  public static JobWire.Status toStatus(Job.State state) {
    return switch (state) {
      case DONE -> JobWire.Status.DONE;
      case CANCELLED -> JobWire.Status.CANCELLED;
      case ACTIVE -> JobWire.Status.PENDING;
    };
  }

  // ---- users

  /** A job's state toward a user; a null status means that nothing certain can be said. */
  public record View(JobWire.Status status, int done, int running) {
    static final View UNKNOWN = new View(null, 0, 0);
  }

  /** The state of a job in memory, or null when it is not there. */
  private View viewOf(Job job) {
    if (!job.isActive() && job.endStored) {
      return new View(toStatus(job.state()), job.done.cardinality(), 0);
    }
    int running = Scheduler.running(job);
    return new View(
        running > 0 ? JobWire.Status.RUNNING : JobWire.Status.PENDING,
        job.done.cardinality(),
        running);
  }

  /**
   * Tells a job's state. While its final state is on its way to the store, another node may read it
   * there before this one hears of the commit; an answer that is not final would then be older than
   * what a user has been told already. So the answer waits for the commit.
   */
  private void tell(Job job, Consumer<View> onDone) {
    if (job.ending && !job.endStored) {
      job.endWaiters.add(() -> onDone.accept(viewOf(job)));
    } else {
      onDone.accept(viewOf(job));
    }
  }

  /** Whether the job is known here, so that a repeated submission is no new one. */
  public boolean knows(String id) {
    return cluster.jobs.containsKey(id) || accepting.containsKey(id);
  }

  /** Stores a new job; the answer follows the commit. Null: nothing certain can be said. */
  public void submit(JobSpec spec, Consumer<JobWire.Status> onDone, Consumer<View> onKnown) {
    String id = spec.id();
    Job known = cluster.jobs.get(id);
    if (known != null) {
      tell(known, onKnown);
      return;
    }
    List<Consumer<JobWire.Status>> waiting = accepting.get(id);
    if (waiting != null) {
      waiting.add(onDone);
      return;
    }
    List<Consumer<JobWire.Status>> first = new ArrayList<>();
    first.add(onDone);
    accepting.put(id, first);
    Job job = new Job(spec, time.timeOfDay(), Job.State.ACTIVE);
    records.accept(job, () -> accepted(job), () -> acceptedElsewhere(id));
  }

  private void accepted(Job job) {
    String id = job.spec.id();
    List<Consumer<JobWire.Status>> all = accepting.remove(id);
    log.debug(
        "job {} accepted: {} x {} of {} for {}",
        id,
        job.spec.tasks(),
        job.spec.shape(),
        job.spec.jobClass(),
        job.spec.team());
    if (cluster.jobs.containsKey(id)) {
      // Two copies of one job in memory would run its tasks twice; adopt() keeps this from being.
      host.resign("job " + id + " was taken up while it was being accepted");
      return;
    }
    scheduler.add(job);
    fleet.accepted(job);
    all.forEach(each -> each.accept(JobWire.Status.PENDING));
  }

  private void acceptedElsewhere(String id) {
    List<Consumer<JobWire.Status>> all = accepting.remove(id);
    adopt(
        id,
        lookup -> {
          JobWire.Status status =
              lookup == null
                  ? null
                  : lookup.job() != null ? viewOf(lookup.job()).status() : lookup.ended();
          all.forEach(each -> each.accept(status));
        });
  }

  /** A job's state, from memory or a fresh read; {@code null} when no such job exists. */
  public void view(String id, Consumer<View> onDone) {
    Job job = cluster.jobs.get(id);
    if (job != null) {
      tell(job, onDone);
      return;
    }
    List<Consumer<JobWire.Status>> waiting = accepting.get(id);
    if (waiting != null) {
      // Its record may be there already: another node may have read it, and told its user so.
      waiting.add(status -> onDone.accept(new View(status, 0, 0)));
      return;
    }
    adopt(
        id,
        lookup -> {
          if (lookup == null) {
            onDone.accept(View.UNKNOWN);
          } else if (lookup.job() != null) {
            tell(lookup.job(), onDone);
          } else if (lookup.ended() != null) {
            onDone.accept(new View(lookup.ended(), 0, 0));
          } else {
            onDone.accept(null);
          }
        });
  }

  /** Cancels a job; the answer follows the commit. */
  public void cancel(String id, Consumer<View> onDone) {
    Job job = cluster.jobs.get(id);
    if (job == null && accepting.containsKey(id)) {
      onDone.accept(View.UNKNOWN);
      return;
    }
    if (job == null) {
      adopt(
          id,
          lookup -> {
            if (lookup == null) {
              onDone.accept(View.UNKNOWN);
            } else if (lookup.job() != null) {
              cancelKnown(lookup.job(), onDone);
            } else {
              onDone.accept(lookup.ended() == null ? null : new View(lookup.ended(), 0, 0));
            }
          });
      return;
    }
    cancelKnown(job, onDone);
  }

  private void cancelKnown(Job job, Consumer<View> onDone) {
    if (job.endStored) {
      onDone.accept(viewOf(job));
      return;
    }
    job.endWaiters.add(() -> onDone.accept(viewOf(job)));
    scheduler.cancel(job);
  }

  /** A request of a user was answered here. */
  public void answered() {
    takeover.passed(Takeovers.Phase.FIRST_ANSWER);
  }

  // ---- workers

  private void countHeard(Machine machine) {
    if (machine.state() == Machine.State.CONFIRMED && heardAgain.add(machine)) {
      takeover.heard();
    }
  }

  /**
   * Answers a report, or returns null when the worker must go elsewhere.
   *
   * @param relayed whether a peer handed it on
   */
  public byte[] onReport(WorkerWire.Report report, boolean relayed) {
    if (state != State.LEADING) {
      // The store is still being read: the lease is kept and our token learned, nothing more.
      return state == State.LOADING
              && host.mayAct()
              && time.now().isBefore(begunAt.plus(LOADING_KEEPS))
          ? WorkerWire.reportResponse(term, new WorkerWire.Orders())
          : null;
    }
    if (!host.mayAct() && workers.holdsEnded(report.machine())) {
      // Without orders nothing ends a cancelled job's tasks but the end of the worker's lease.
      return null;
    }
    WorkerWire.Orders orders = workers.onReport(report);
    Machine machine = cluster.machine(report.machine());
    if (machine != null) {
      machine.relayed = relayed;
    }
    if (orders != null) {
      takeover.passed(Takeovers.Phase.FIRST_REPORT);
      if (takeover.awaitsMore() && machine != null && machine.recorded) {
        countHeard(machine);
      }
    }
    return orders == null ? null : WorkerWire.reportResponse(term, orders);
  }
}
