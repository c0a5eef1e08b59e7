package io.pineladder.failover;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.delivery.NotificationOutbox;
import io.pineladder.model.Attempt;
import io.pineladder.model.DeliveryProgress;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Notification;
import io.pineladder.net.EventLoop;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.store.Committer;
import io.pineladder.store.RecordKeys;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.DeliveryWire;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads what earlier leaders stored, from which a term goes on. */
public final class TermLoader {
  private static final Logger log = LoggerFactory.getLogger(TermLoader.class);
  private static final Duration MACHINE_TYPES_RETRY_DELAY = Duration.ofSeconds(1);

  /** What the term does with it. */
  public interface Listener {
    /** The term still reads. */
    boolean isLoading();

    /** Stored settings were read. */
    void onConfiguration(List<StoreWire.Entry> entries);

    List<MachineType> machineTypes();

    /**
     * A prefix was read.
     *
     * @return the listing to go on with, mended where this controller's copy can; null when the
     *     term cannot go on
     */
    StoreClient.Listing onPrefixRead(String prefix, StoreClient.Listing listing);

    /** A final state that is known of a job, whatever its record says; or null. */
    Job.State finalState(String id);

    /** Half a memory could break every rule: the term cannot go on. */
    void onUnreadableRecord(String reason);

    /** All jobs with their attempts, in the order in which they were accepted, and the inbox. */
    void onLoaded(List<Job> jobs, StoreClient.Listing inbox);
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final NotificationOutbox outbox;
  private final Listener listener;

  public TermLoader(
      StoreClient storeClient,
      EventLoop eventLoop,
      ClusterState cluster,
      Committer committer,
      Records records,
      NotificationOutbox outbox,
      Listener listener) {
    this.storeClient = storeClient;
    this.eventLoop = eventLoop;
    this.cluster = cluster;
    this.committer = committer;
    this.records = records;
    this.outbox = outbox;
    this.listener = listener;
  }

  /** Reads everything that earlier leaders stored; their late transactions can no longer apply. */
  public void load() {
    if (!listener.isLoading()) {
      return;
    }
    BooleanSupplier wanted = listener::isLoading;
    list(
        RecordKeys.CONFIGURATION,
        wanted,
        conf -> {
          conf.entries().forEach(e -> committer.restoreRevision(e.key(), e.revision()));
          listener.onConfiguration(conf.entries());
          loadSubscriptions(conf.entries());
          loadRecords(wanted);
        });
  }

  private void list(String prefix, BooleanSupplier wanted, Consumer<StoreClient.Listing> onDone) {
    storeClient.listAll(
        prefix,
        wanted,
        listing -> {
          StoreClient.Listing good = listener.onPrefixRead(prefix, listing);
          if (good != null) {
            onDone.accept(good);
          }
        });
  }

  private void loadSubscriptions(List<StoreWire.Entry> conf) {
    for (StoreWire.Entry entry : conf) {
      if (entry.key().startsWith(RecordKeys.SUBSCRIPTION)) {
        try {
          outbox.known(DeliveryWire.parseSubscription(entry.value()));
        } catch (MalformedMessageException e) {
          // Scheduling for all goes before the notices of one.
          log.error("{} cannot be read and is left out: {}", entry.key(), e.getMessage());
        }
      }
    }
  }

  private void loadRecords(BooleanSupplier wanted) {
    // The inbox is read before the jobs, so that a job is in the one or the other.
    list(
        RecordKeys.INBOX,
        wanted,
        inbox -> {
          StoredListings stored = new StoredListings();
          // In one order, so that a simulated day is the same each time.
          Map<String, Consumer<StoreClient.Listing>> rest = new LinkedHashMap<>();
          rest.put(RecordKeys.UNPAGED_JOB, listing -> stored.jobs = listing);
          rest.put(RecordKeys.JOB_PAGES, listing -> stored.accepted = listing);
          rest.put(RecordKeys.COMPLETIONS, listing -> stored.done = listing);
          rest.put(RecordKeys.PLACEMENTS, listing -> stored.placed = listing);
          rest.put(RecordKeys.CACHED_IMAGES, listing -> stored.images = listing);
          if (storeClient.generation().base() != 0) {
            // Without them a job that was over before the loss would be taken for a new one.
            rest.put(RecordKeys.ARCHIVED_FINAL_STATES, listing -> {});
          }
          int[] left = {rest.size()};
          rest.forEach(
              (prefix, onRead) ->
                  list(
                      prefix,
                      wanted,
                      listing -> {
                        onRead.accept(listing);
                        if (--left[0] == 0) {
                          build(stored, inbox);
                        }
                      }));
        });
  }

  /**
   * Reads what subscribers are still to be told and where they are; the term has begun by then.
   * Read in any case where one may subscribe: what earlier subscribers left behind has revisions
   * too.
   */
  public void loadBacklog(BooleanSupplier wanted, Runnable onDone) {
    list(
        RecordKeys.NOTIFICATION_BACKLOG,
        wanted,
        backlog ->
            list(
                RecordKeys.DELIVERY_PROGRESS,
                wanted,
                delivered -> {
                  try {
                    Map<String, List<Notification>> notices = new LinkedHashMap<>();
                    for (StoreWire.Entry page : backlog.entries()) {
                      committer.restoreRevision(page.key(), page.revision());
                      notices.put(page.key(), RecordWire.parseNotifications(page.value()));
                    }
                    Map<String, Map<String, DeliveryProgress>> progress = new LinkedHashMap<>();
                    for (StoreWire.Entry page : delivered.entries()) {
                      committer.restoreRevision(page.key(), page.revision());
                      progress.put(page.key(), DeliveryWire.parseProgress(page.value()));
                    }
                    outbox.complete(notices, progress);
                    onDone.run();
                  } catch (MalformedMessageException e) {
                    // Scheduling goes on; nothing is sent, and no notice is let go.
                    log.error("what subscribers wait for cannot be read: {}", e.getMessage());
                  }
                }));
  }

  /** What earlier leaders stored. */
  private static final class StoredListings {
    StoreClient.Listing jobs;
    StoreClient.Listing accepted;
    StoreClient.Listing done;
    StoreClient.Listing placed;
    StoreClient.Listing images;
  }

  /** A page's entry with the page it stands in. */
  private record PageEntry<T>(String page, T entry) {}

  /** Reads one kind of page entry. */
  private interface EntryReader<T> {
    T read(JsonNode entry) throws MalformedMessageException;
  }

  private <T> List<PageEntry<T>> readPages(StoreClient.Listing listing, EntryReader<T> reader)
      throws MalformedMessageException {
    List<PageEntry<T>> found = new ArrayList<>();
    for (StoreWire.Entry page : listing.entries()) {
      committer.restoreRevision(page.key(), page.revision());
      for (JsonNode entry : RecordWire.entries(page.value())) {
        found.add(new PageEntry<>(page.key(), reader.read(entry)));
      }
    }
    return found;
  }

  private void build(StoredListings stored, StoreClient.Listing inbox) {
    Map<String, Job> found = new HashMap<>();
    List<Job> ordered = new ArrayList<>();
    cluster.setTypes(listener.machineTypes());
    try {
      List<PageEntry<RecordWire.Placement>> placements =
          readPages(stored.placed, RecordWire::parsePlacement);
      for (PageEntry<RecordWire.Placement> placement : placements) {
        if (cluster.type(placement.entry.type()) == null) {
          log.warn("machine {} is of a type not known yet", placement.entry.machine());
          eventLoop.schedule(MACHINE_TYPES_RETRY_DELAY, this::load);
          return;
        }
      }
      for (StoreWire.Entry page : stored.accepted.entries()) {
        records.restoreJobPage(page.key());
        for (Notification notification : RecordWire.parseNotifications(page.value())) {
          records.restoreNotification(page.key(), notification);
        }
      }
      outbox.loaded();
      Set<String> accepted = new HashSet<>();
      stored.accepted.entries().forEach(page -> accepted.add(page.key()));
      for (PageEntry<JsonNode> record : readPages(stored.accepted, entry -> entry)) {
        String source = RecordWire.copySource(record.entry);
        if (source != null && accepted.contains(source)) {
          records.restoreCopy(record.page, source);
          continue;
        }
        if (source != null) {
          records.reservePageNumber(source);
        }
        Job job = known(toJob(record.entry));
        records.restoreJob(record.page, job, RecordWire.withoutCopySource(record.entry));
        found.put(job.spec.id(), job);
        ordered.add(job);
      }
      for (StoreWire.Entry entry : stored.jobs.entries()) {
        committer.restoreRevision(entry.key(), entry.revision());
        Job job = known(toJob(entry.value()));
        Job paged = found.putIfAbsent(job.spec.id(), job);
        if (paged == null) {
          ordered.add(job);
        } else {
          // A node that did not reach the leader of the time stored it again.
          records.setHasUnpagedRecord(paged, true);
        }
      }
      restoreDone(stored.done, found);
      // The pages are in the order of their keys; what was cached of a machine is a guess anyway.
      for (PageEntry<RecordWire.StoredImages> images :
          readPages(stored.images, RecordWire::parseImages)) {
        records.restoreImagePage(images.page);
        cluster.expectImages(images.entry.machine(), images.entry.images());
      }
      restorePlacements(placements, found);
      stored.placed.entries().forEach(page -> records.restorePlacementPage(page.key()));
    } catch (MalformedMessageException e) {
      log.error("a stored record cannot be read: {}", e.getMessage());
      listener.onUnreadableRecord("a stored record cannot be read");
      return;
    }
    ordered.sort(
        (a, b) -> {
          int byTime = a.acceptedAt.compareTo(b.acceptedAt);
          return byTime != 0 ? byTime : a.spec.id().compareTo(b.spec.id());
        });
    listener.onLoaded(ordered, inbox);
  }

  private void restoreDone(StoreClient.Listing listing, Map<String, Job> jobs)
      throws MalformedMessageException {
    listing.entries().forEach(page -> records.restoreCompletionPage(page.key()));
    List<PageEntry<RecordWire.StoredCompletions>> all =
        readPages(listing, RecordWire::parseCompletions);
    all.removeIf(done -> !jobs.containsKey(done.entry.job()));
    for (PageEntry<RecordWire.StoredCompletions> done : all) {
      Job job = jobs.get(done.entry.job());
      job.done.or(done.entry.done());
    }
    for (PageEntry<RecordWire.StoredCompletions> done : all) {
      records.restoreCompletions(done.page, jobs.get(done.entry.job()), done.entry);
    }
  }

  /**
   * Takes up the placements of tasks that are still wanted. An attempt is stored only when all
   * earlier ones of its task are proven gone, so of a task's placements those with the highest
   * number count; the others are merely old. So is one whose job is gone, since a job's record goes
   * only when none of its tasks can be anywhere, and one of a task of an active job that is
   * complete: it is stored as complete only when no other attempt of it can be anywhere.
   */
  private void restorePlacements(
      List<PageEntry<RecordWire.Placement>> placements, Map<String, Job> jobs) {
    Map<String, Long> newest = new HashMap<>();
    for (PageEntry<RecordWire.Placement> paged : placements) {
      RecordWire.Placement placement = paged.entry;
      newest.merge(placement.job() + "/" + placement.task(), placement.attempt(), Math::max);
    }
    Instant now = eventLoop.now();
    for (PageEntry<RecordWire.Placement> paged : placements) {
      RecordWire.Placement placement = paged.entry;
      Job job = jobs.get(placement.job());
      if (job == null
          || placement.task() >= job.spec.tasks()
          || (job.isActive() && job.done.get(placement.task()))
          || newest.get(placement.job() + "/" + placement.task()) != placement.attempt()) {
        continue;
      }
      Machine machine = cluster.machine(placement.machine());
      if (machine == null) {
        MachineType type = cluster.type(placement.type());
        machine = new Machine(placement.machine(), type, placement.zone(), placement.spot(), now);
        machine.address = placement.address();
        machine.knownFromPlacements = true;
        cluster.addMachine(machine);
      }
      String key = Machine.attemptKey(placement.job(), placement.task(), placement.attempt());
      if (!machine.attempts.containsKey(key)) {
        Attempt attempt =
            cluster.addAttempt(
                job, placement.task(), placement.attempt(), machine, now, Attempt.State.RECOVERED);
        records.restorePlacement(paged.page, attempt);
      }
    }
  }

  /**
   * A final state is never undone, also where an older record of the job came back with a rebuild.
   */
  private Job known(Job job) {
    Job.State ended = listener.finalState(job.spec.id());
    if (job.isActive() && ended != null) {
      job.transitionTo(ended);
    }
    return job;
  }

  public static Job toJob(JsonNode record) throws MalformedMessageException {
    RecordWire.StoredJob stored = RecordWire.parseJob(record);
    Job job = new Job(stored.spec(), stored.acceptedAt(), stored.state());
    job.failing = stored.atFault();
    return job;
  }
}
