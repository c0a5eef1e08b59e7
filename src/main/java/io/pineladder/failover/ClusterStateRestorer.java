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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Restores the memory of a new term from the records that earlier leaders stored: jobs,
 * completions, placements and expected caches, and where each record stands in the store. Used once
 * for a load.
 */
final class ClusterStateRestorer {
  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final NotificationOutbox outbox;
  private final Function<String, Job.State> finalStates;
  private final Instant now;
  private final Map<String, Job> jobs = new HashMap<>();
  private List<PageEntry<RecordWire.Placement>> placements;

  /**
   * Creates a restorer.
   *
   * @param finalStates the final states in this controller's replica; null for an unknown one
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

  /** An entry with the key of the page that holds it. */
  private record PageEntry<T>(String page, T entry) {}

  /** Parses one kind of page entry. */
  private interface EntryParser<T> {
    T parse(JsonNode entry) throws MalformedMessageException;
  }

  /**
   * Parses the placements, before anything is restored.
   *
   * @return a machine whose type is not known yet, with which nothing can be restored
   */
  Optional<String> readPlacements(StoreClient.Listing listing) throws MalformedMessageException {
    placements = readPages(listing, RecordWire::parsePlacement);
    for (PageEntry<RecordWire.Placement> placement : placements) {
      if (cluster.type(placement.entry.type()) == null) {
        return Optional.of(placement.entry.machine());
      }
    }
    return Optional.empty();
  }

  /**
   * Restores everything, after {@link #readPlacements} has found no unknown machine type.
   *
   * @return all jobs, ordered by the time of their acceptance and then by id
   */
  List<Job> restore(StoredListings stored) throws MalformedMessageException {
    List<Job> ordered = new ArrayList<>();
    restoreJobPages(stored.jobPages, ordered);
    restoreUnpagedJobs(stored.unpagedJobs, ordered);
    restoreCompletions(stored.completions);
    // In the order of the page keys; which images a machine has cached is an estimate in any case.
    for (PageEntry<RecordWire.StoredImages> images :
        readPages(stored.cachedImages, RecordWire::parseImages)) {
      records.restoreImagePage(images.page);
      cluster.expectImages(images.entry.machine(), images.entry.images());
    }
    restorePlacements();
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
    for (PageEntry<JsonNode> record : readPages(listing, entry -> entry)) {
      String source = RecordWire.copySource(record.entry);
      if (source != null && pages.contains(source)) {
        records.restoreCopy(record.page, source);
        continue;
      }
      if (source != null) {
        records.reservePageNumber(source);
      }
      Job job = withFinalState(TermLoader.toJob(record.entry));
      records.restoreJob(record.page, job, RecordWire.withoutCopySource(record.entry));
      jobs.put(job.spec.id(), job);
      ordered.add(job);
    }
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
        // A controller that did not reach the leader stored the job a second time.
        records.setHasUnpagedRecord(paged, true);
      }
    }
  }

  private <T> List<PageEntry<T>> readPages(StoreClient.Listing listing, EntryParser<T> parser)
      throws MalformedMessageException {
    List<PageEntry<T>> found = new ArrayList<>();
    for (StoreWire.Entry page : listing.entries()) {
      committer.restoreRevision(page.key(), page.revision());
      for (JsonNode entry : RecordWire.entries(page.value())) {
        found.add(new PageEntry<>(page.key(), parser.parse(entry)));
      }
    }
    return found;
  }

  private void restoreCompletions(StoreClient.Listing listing) throws MalformedMessageException {
    listing.entries().forEach(page -> records.restoreCompletionPage(page.key()));
    List<PageEntry<RecordWire.StoredCompletions>> all =
        readPages(listing, RecordWire::parseCompletions);
    all.removeIf(done -> !jobs.containsKey(done.entry.job()));
    for (PageEntry<RecordWire.StoredCompletions> done : all) {
      Job job = jobs.get(done.entry.job());
      job.completedTasks.or(done.entry.completed());
    }
    for (PageEntry<RecordWire.StoredCompletions> done : all) {
      records.restoreCompletions(done.page, jobs.get(done.entry.job()), done.entry);
    }
  }

  /**
   * Restores the placements that are still valid. An attempt is stored only when all earlier ones
   * of its task are proven gone, so only the highest attempt number of a task counts. Placements of
   * a job without a record are obsolete, since the record is removed only when no task can be
   * running; so are those of a completed task of an active job, since a completion is stored only
   * when no other attempt can be running.
   */
  private void restorePlacements() {
    Map<String, Long> newestAttempts = new HashMap<>();
    for (PageEntry<RecordWire.Placement> pageEntry : placements) {
      RecordWire.Placement placement = pageEntry.entry;
      newestAttempts.merge(
          placement.job() + "/" + placement.task(), placement.attempt(), Math::max);
    }
    for (PageEntry<RecordWire.Placement> pageEntry : placements) {
      RecordWire.Placement placement = pageEntry.entry;
      Job job = jobs.get(placement.job());
      if (job == null
          || placement.task() >= job.spec.tasks()
          || (job.isActive() && job.completedTasks.get(placement.task()))
          || newestAttempts.get(placement.job() + "/" + placement.task()) != placement.attempt()) {
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
        records.restorePlacement(pageEntry.page, attempt);
      }
    }
  }

  /** A final state is never undone, also where a rebuild restored an older record of the job. */
  private Job withFinalState(Job job) {
    Job.State finalState = finalStates.apply(job.spec.id());
    if (job.isActive() && finalState != null) {
      job.transitionTo(finalState);
    }
    return job;
  }
}
