package io.pineladder.failover;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.delivery.NotificationOutbox;
import io.pineladder.model.DeliveryProgress;
import io.pineladder.model.Job;
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
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the records of earlier leaders and restores the in-memory state of a new term from them
 * with {@link ClusterStateRestorer}. Event thread only.
 */
public final class TermLoader {
  private static final Logger log = LoggerFactory.getLogger(TermLoader.class);
  private static final Duration MACHINE_TYPES_RETRY_DELAY = Duration.ofSeconds(1);

  /** A small part of the leader's lease, also with a small share of a processor. */
  private static final Duration MAX_RESTORE_SLICE = Duration.ofMillis(20);

  /** The term that is being loaded. */
  public interface Listener {
    /** Whether the term is still loading; otherwise loading stops. */
    boolean isLoading();

    /** The stored configuration was read. */
    void onConfiguration(List<StoreWire.Entry> entries);

    /** The machine types that are currently known. */
    List<MachineType> machineTypes();

    /**
     * All records with a key prefix were read.
     *
     * @return the listing with unreadable records repaired from this controller's replica; null if
     *     the term must end
     */
    StoreClient.Listing onPrefixRead(String prefix, StoreClient.Listing listing);

    /** The final state of a job in this controller's replica; null if it has none. */
    Job.State finalState(String id);

    /** A record cannot be parsed; the term must end, since its state would be incomplete. */
    void onUnreadableRecord(String reason);

    /**
     * Loading is complete.
     *
     * @param jobs all jobs with their attempts, ordered by acceptance time
     * @param inbox the ids of jobs that other controllers accepted without a leader
     */
    void onLoaded(List<Job> jobs, StoreClient.Listing inbox);
  }

  private final StoreClient storeClient;
  private final EventLoop eventLoop;
  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final NotificationOutbox outbox;
  private final Listener listener;

  /**
   * Creates a loader; {@link #load} starts it.
   *
   * @param cluster the empty state to restore
   * @param committer receives the revisions of all records read
   */
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

  /**
   * Reads all records of earlier leaders. Their delayed transactions can no longer commit, since
   * each is conditional on the leader key of its term.
   */
  public void load() {
    if (!listener.isLoading()) {
      return;
    }
    BooleanSupplier isLoading = listener::isLoading;
    list(
        RecordKeys.CONFIGURATION,
        isLoading,
        configuration -> {
          configuration.entries().forEach(e -> committer.restoreRevision(e.key(), e.revision()));
          listener.onConfiguration(configuration.entries());
          loadSubscriptions(configuration.entries());
          loadRecords(isLoading);
        });
  }

  private void list(String prefix, BooleanSupplier isActive, Consumer<StoreClient.Listing> onDone) {
    storeClient.listAll(
        prefix,
        isActive,
        listing -> {
          StoreClient.Listing readable = listener.onPrefixRead(prefix, listing);
          if (readable != null) {
            onDone.accept(readable);
          }
        });
  }

  private void loadSubscriptions(List<StoreWire.Entry> configuration) {
    for (StoreWire.Entry entry : configuration) {
      if (entry.key().startsWith(RecordKeys.SUBSCRIPTION)) {
        try {
          outbox.onSubscriptionLoaded(DeliveryWire.parseSubscription(entry.value()));
        } catch (MalformedMessageException e) {
          // One unreadable subscription must not prevent the term from starting.
          log.error(
              "Unreadable subscription left out: key={} detail=\"{}\"",
              entry.key(),
              e.getMessage());
        }
      }
    }
  }

  private void loadRecords(BooleanSupplier isLoading) {
    // The inbox is read first, so that a job that leaves it meanwhile is found among the jobs.
    list(
        RecordKeys.INBOX,
        isLoading,
        inbox -> {
          StoredListings stored = new StoredListings();
          // Linked, so that the order of requests is deterministic.
          Map<String, Consumer<StoreClient.Listing>> assignments = new LinkedHashMap<>();
          assignments.put(RecordKeys.UNPAGED_JOB, listing -> stored.unpagedJobs = listing);
          assignments.put(RecordKeys.JOB_PAGES, listing -> stored.jobPages = listing);
          assignments.put(RecordKeys.COMPLETIONS, listing -> stored.completions = listing);
          assignments.put(RecordKeys.PLACEMENTS, listing -> stored.placements = listing);
          assignments.put(RecordKeys.CACHED_IMAGES, listing -> stored.cachedImages = listing);
          if (storeClient.generation().base() != 0) {
            // Needed so that jobs that ended before the data loss are not restored as active.
            assignments.put(RecordKeys.ARCHIVED_FINAL_STATES, listing -> {});
          }
          int[] remaining = {assignments.size()};
          assignments.forEach(
              (prefix, onRead) ->
                  list(
                      prefix,
                      isLoading,
                      listing -> {
                        onRead.accept(listing);
                        if (--remaining[0] == 0) {
                          restore(stored, inbox);
                        }
                      }));
        });
  }

  /**
   * Reads the undelivered notifications and the delivery progress of each subscription, after the
   * term has started. Also called without subscriptions, since the committer needs the revisions of
   * records that earlier subscriptions left behind.
   *
   * @param isActive whether the term has not ended; otherwise reading stops
   * @param onDone called once the backlog is restored; not called if a record cannot be parsed
   */
  public void loadBacklog(BooleanSupplier isActive, Runnable onDone) {
    list(
        RecordKeys.NOTIFICATION_BACKLOG,
        isActive,
        backlog ->
            list(
                RecordKeys.DELIVERY_PROGRESS,
                isActive,
                delivered -> restoreBacklog(backlog, delivered, onDone)));
  }

  private void restoreBacklog(
      StoreClient.Listing backlog, StoreClient.Listing delivered, Runnable onDone) {
    try {
      Map<String, List<Notification>> notifications = new LinkedHashMap<>();
      for (StoreWire.Entry page : backlog.entries()) {
        committer.restoreRevision(page.key(), page.revision());
        notifications.put(page.key(), RecordWire.parseNotifications(page.value()));
      }
      Map<String, Map<String, DeliveryProgress>> progress = new LinkedHashMap<>();
      for (StoreWire.Entry page : delivered.entries()) {
        committer.restoreRevision(page.key(), page.revision());
        progress.put(page.key(), DeliveryWire.parseProgress(page.value()));
      }
      outbox.onBacklogLoaded(notifications, progress);
      onDone.run();
    } catch (MalformedMessageException e) {
      // Scheduling continues; notifications are retained but not delivered.
      log.error("Deliveries suspended, unreadable backlog: detail=\"{}\"", e.getMessage());
    }
  }

  private void restore(StoredListings stored, StoreClient.Listing inbox) {
    cluster.setTypes(listener.machineTypes());
    ClusterStateRestorer restorer =
        new ClusterStateRestorer(
            cluster, committer, records, outbox, listener::finalState, eventLoop.now(), stored);
    restoreNextSlice(restorer, inbox);
  }

  /** Restores for a limited time, then lets other events run, such as renewals of the lease. */
  private void restoreNextSlice(ClusterStateRestorer restorer, StoreClient.Listing inbox) {
    if (!listener.isLoading()) {
      return;
    }
    Instant sliceEnd = eventLoop.now().plus(MAX_RESTORE_SLICE);
    try {
      while (!restorer.isDone()) {
        if (sliceEnd.isBefore(eventLoop.now())) {
          eventLoop.schedule(Duration.ZERO, () -> restoreNextSlice(restorer, inbox));
          return;
        }
        restorer.runNextStep();
      }
    } catch (MalformedMessageException e) {
      log.error("Term load failed, unreadable record: detail=\"{}\"", e.getMessage());
      listener.onUnreadableRecord("a stored record cannot be read");
      return;
    }
    Optional<String> untypedMachine = restorer.untypedMachine();
    if (untypedMachine.isPresent()) {
      log.warn("Term load delayed, machine type unknown: machine={}", untypedMachine.get());
      eventLoop.schedule(MACHINE_TYPES_RETRY_DELAY, this::load);
      return;
    }
    listener.onLoaded(restorer.orderedJobs(), inbox);
  }

  /** Creates a job from its stored record. */
  public static Job toJob(JsonNode record) throws MalformedMessageException {
    RecordWire.StoredJob stored = RecordWire.parseJob(record);
    Job job = new Job(stored.spec(), stored.acceptedAt(), stored.state());
    job.failing = stored.atFault();
    return job;
  }
}
