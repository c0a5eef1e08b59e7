package io.pineladder.failover;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.delivery.NotificationOutbox;
import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.model.MachineType;
import io.pineladder.model.Notification;
import io.pineladder.scheduling.ClusterState;
import io.pineladder.store.Committer;
import io.pineladder.store.Records;
import io.pineladder.store.StoreClient;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Restores the in-memory state of a new term from the records of earlier leaders: jobs,
 * completions, placements and cached images, and the page on which each record is stored. An
 * instance is used for a single load.
 */
final class ClusterStateRestorer {
  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final NotificationOutbox outbox;
  private final Function<String, Job.State> finalStates;
  private final Instant now;
  private final Map<String, Job> jobs = new HashMap<>();
  private final HighestAttempts highestAttempts = new HighestAttempts();

  /**
   * Creates a restorer.
   *
   * @param finalStates returns the final state of a job in this controller's replica, or null
   */
  ClusterStateRestorer(
      ClusterState cluster,
      Committer committer,
      Records records,
      NotificationOutbox outbox,
      Function<String, Job.State> finalStates,
      Instant now) {
    this.cluster = cluster;
    this.committer = committer;
    this.records = records;
    this.outbox = outbox;
    this.finalStates = finalStates;
    this.now = now;
  }

  /** Parses one kind of page entry. */
  private interface EntryParser<T> {
    T parse(JsonNode entry) throws MalformedMessageException;
  }

  /** Receives the entries of pages one by one. */
  private interface EntryConsumer<T> {
    void accept(String page, T entry) throws MalformedMessageException;
  }

  /**
   * Parses the placements without restoring them. Must be called before {@link #restore}.
   *
   * @return the name of a machine whose type is not known yet, which prevents a restore; empty if
   *     all types are known
   */
  Optional<String> readPlacements(StoreClient.Listing listing) throws MalformedMessageException {
    Set<String> untypedMachines = new LinkedHashSet<>();
    forEachEntry(
        listing,
        RecordWire::parsePlacement,
        (page, placement) -> {
          highestAttempts.add(placement);
          if (cluster.type(placement.type()) == null) {
            untypedMachines.add(placement.machine());
          }
        });
    if (highestAttempts.hasRepeatedTasks()) {
      forEachEntry(
          listing,
          RecordWire::parsePlacement,
          (page, placement) -> highestAttempts.addRepeated(placement));
    }
    return untypedMachines.stream().findFirst();
  }

  /**
   * Restores all records, after {@link #readPlacements} has found no unknown machine type.
   *
   * @return all jobs, ordered by acceptance time and then by id
   */
  List<Job> restore(StoredListings stored) throws MalformedMessageException {
    List<Job> ordered = new ArrayList<>();
    restoreJobPages(stored.jobPages, ordered);
    restoreUnpagedJobs(stored.unpagedJobs, ordered);
    restoreCompletions(stored.completions);
    // In the order of page keys, not of use: the state of the image cache is only an estimate.
    restoreRevisions(stored.cachedImages);
    forEachEntry(
        stored.cachedImages,
        RecordWire::parseImages,
        (page, images) -> {
          records.restoreImagePage(page);
          cluster.expectImages(images.machine(), images.images());
        });
    restoreRevisions(stored.placements);
    forEachEntry(stored.placements, RecordWire::parsePlacement, this::restorePlacement);
    stored.placements.entries().forEach(page -> records.restorePlacementPage(page.key()));
    ordered.sort(
        (a, b) -> {
          int byTime = a.acceptedAt.compareTo(b.acceptedAt);
          return byTime != 0 ? byTime : a.spec.id().compareTo(b.spec.id());
        });
    return ordered;
  }

  private void restoreJobPages(StoreClient.Listing listing, List<Job> ordered)
      throws MalformedMessageException {
    for (StoreWire.Entry page : listing.entries()) {
      records.restoreJobPage(page.key());
      for (Notification notification : RecordWire.parseNotifications(page.value())) {
        records.restoreNotification(page.key(), notification);
      }
    }
    outbox.onJobPagesLoaded();
    Set<String> pages = new HashSet<>();
    listing.entries().forEach(page -> pages.add(page.key()));
    restoreRevisions(listing);
    forEachEntry(
        listing,
        entry -> entry,
        (page, record) -> {
          String source = RecordWire.copySource(record);
          if (source != null && pages.contains(source)) {
            records.restoreCopy(page, source);
          } else {
            ordered.add(restoreJob(page, record, source));
          }
        });
  }

  /** Restores a job from its record in a page, which was copied from {@code source} if not null. */
  private Job restoreJob(String page, JsonNode record, String source)
      throws MalformedMessageException {
    if (source != null) {
      records.reservePageNumber(source);
    }
    Job job = withFinalState(TermLoader.toJob(record));
    records.restoreJob(page, job, RecordWire.withoutCopySource(record));
    jobs.put(job.spec.id(), job);
    return job;
  }

  private void restoreUnpagedJobs(StoreClient.Listing listing, List<Job> ordered)
      throws MalformedMessageException {
    for (StoreWire.Entry entry : listing.entries()) {
      committer.restoreRevision(entry.key(), entry.revision());
      Job job = withFinalState(TermLoader.toJob(entry.value()));
      Job paged = jobs.putIfAbsent(job.spec.id(), job);
      if (paged == null) {
        ordered.add(job);
      } else {
        // The job was also stored by a controller that could not reach the leader.
        records.setHasUnpagedRecord(paged, true);
      }
    }
  }

  private void restoreRevisions(StoreClient.Listing listing) {
    listing.entries().forEach(page -> committer.restoreRevision(page.key(), page.revision()));
  }

  /**
   * Passes on the entries of all pages, one parsed page at a time: as trees, the pages of a large
   * cluster would take more memory than the state that is restored from them.
   */
  private static <T> void forEachEntry(
      StoreClient.Listing listing, EntryParser<T> parser, EntryConsumer<T> consumer)
      throws MalformedMessageException {
    for (StoreWire.Entry page : listing.entries()) {
      for (JsonNode entry : RecordWire.entries(page.value())) {
        consumer.accept(page.key(), parser.parse(entry));
      }
    }
  }

  private void restoreCompletions(StoreClient.Listing listing) throws MalformedMessageException {
    listing.entries().forEach(page -> records.restoreCompletionPage(page.key()));
    restoreRevisions(listing);
    forEachEntry(
        listing,
        RecordWire::parseCompletions,
        (page, chunk) -> {
          Job job = jobs.get(chunk.job());
          if (job != null) {
            job.completedTasks.or(chunk.completed());
          }
        });
    forEachEntry(
        listing,
        RecordWire::parseCompletions,
        (page, chunk) -> {
          Job job = jobs.get(chunk.job());
          if (job != null) {
            records.restoreCompletions(page, job, chunk);
          }
        });
  }

  /**
   * Restores a placement if it is still valid. Obsolete are:
   *
   * <ul>
   *   <li>All but the highest attempt number of a task, since an attempt is stored only when all
   *       earlier ones are proven gone.
   *   <li>Those of a job without a record, since the record is removed only when no task can be
   *       running.
   *   <li>Those of a completed task of an active job, since a completion is stored only when no
   *       other attempt can be running.
   * </ul>
   */
  private void restorePlacement(String page, RecordWire.Placement placement) {
    Job job = jobs.get(placement.job());
    if (job == null
        || placement.task() >= job.spec.tasks()
        || (job.isActive() && job.completedTasks.get(placement.task()))
        || !highestAttempts.isHighest(placement)) {
      return;
    }
    Machine machine = cluster.machine(placement.machine());
    if (machine == null) {
      machine = restoreMachine(placement);
    }
    String key = Machine.attemptKey(placement.job(), placement.task(), placement.attempt());
    if (!machine.attempts.containsKey(key)) {
      Attempt attempt =
          cluster.addAttempt(
              job, placement.task(), placement.attempt(), machine, now, Attempt.State.RECOVERED);
      records.restorePlacement(page, attempt);
    }
  }

  private Machine restoreMachine(RecordWire.Placement placement) {
    MachineType type = cluster.type(placement.type());
    Machine machine =
        new Machine(placement.machine(), type, placement.zone(), placement.spot(), now);
    machine.address = placement.address();
    machine.knownFromPlacements = true;
    cluster.addMachine(machine);
    return machine;
  }

  /** Applies a known final state, since a rebuild may have restored an older record of the job. */
  private Job withFinalState(Job job) {
    Job.State finalState = finalStates.apply(job.spec.id());
    if (job.isActive() && finalState != null) {
      job.transitionTo(finalState);
    }
    return job;
  }
}
