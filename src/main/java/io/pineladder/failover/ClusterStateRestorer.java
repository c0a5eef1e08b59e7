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
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Restores the in-memory state of a new term from the records of earlier leaders: jobs,
 * completions, placements and cached images, and the page on which each record is stored. Works in
 * short steps, since a lease has to be renewed while many records are restored. An instance is used
 * for a single load.
 */
final class ClusterStateRestorer {
  private static final Logger log = LoggerFactory.getLogger(ClusterStateRestorer.class);

  private final ClusterState cluster;
  private final Committer committer;
  private final Records records;
  private final NotificationOutbox outbox;
  private final Function<String, Job.State> finalStates;
  private final Instant now;
  private final Map<String, Job> jobs = new HashMap<>();
  private final List<Job> ordered = new ArrayList<>();
  private final HighestAttempts highestAttempts = new HighestAttempts();
  private final Set<String> pagesWithSecondRecords = new LinkedHashSet<>();
  private final Deque<Step> steps = new ArrayDeque<>();
  private String untypedMachine;

  /**
   * Creates a restorer, whose steps have to be run.
   *
   * @param stored all records
   * @param finalStates returns the final state of a job in this controller's replica, or null
   */
  ClusterStateRestorer(
      ClusterState cluster,
      Committer committer,
      Records records,
      NotificationOutbox outbox,
      Function<String, Job.State> finalStates,
      Instant now,
      StoredListings stored) {
    this.cluster = cluster;
    this.committer = committer;
    this.records = records;
    this.outbox = outbox;
    this.finalStates = finalStates;
    this.now = now;
    planSteps(stored);
  }

  /** Parses one kind of page entry. */
  private interface EntryParser<T> {
    T parse(JsonNode entry) throws MalformedMessageException;
  }

  /** Receives the entries of pages one by one. */
  private interface EntryConsumer<T> {
    void accept(String page, T entry) throws MalformedMessageException;
  }

  /** Receives the stored completions of known jobs. */
  private interface CompletionConsumer {
    void accept(String page, Job job, RecordWire.StoredCompletions chunk);
  }

  /** A part of the restore that takes a short time, such as one page. */
  private interface Step {
    void run() throws MalformedMessageException;
  }

  /** Whether all records are restored, or a machine type is missing. */
  boolean isDone() {
    return steps.isEmpty();
  }

  /** Runs the next step. */
  void runNextStep() throws MalformedMessageException {
    steps.removeFirst().run();
  }

  /**
   * A machine whose type is not known yet; empty if all types are known. Nothing but this and the
   * placements' attempt numbers has been read then, and the restore has to be repeated.
   */
  Optional<String> untypedMachine() {
    return Optional.ofNullable(untypedMachine);
  }

  /** The restored jobs, ordered by acceptance time and then by id. */
  List<Job> orderedJobs() {
    ordered.sort(
        Comparator.comparing((Job job) -> job.acceptedAt).thenComparing(job -> job.spec.id()));
    return ordered;
  }

  private void planSteps(StoredListings stored) {
    planPlacementChecks(stored.placements);
    planJobPages(stored.jobPages);
    stored.unpagedJobs.entries().forEach(entry -> steps.add(() -> restoreUnpagedJob(entry)));
    planCompletions(stored.completions);
    // In the order of page keys, not of use: the state of the image cache is only an estimate.
    planRevisions(stored.cachedImages);
    planEntries(
        stored.cachedImages,
        RecordWire::parseImages,
        (page, images) -> {
          records.restoreImagePage(page);
          cluster.expectImages(images.machine(), images.images());
        });
    planRevisions(stored.placements);
    planEntries(stored.placements, RecordWire::parsePlacement, this::restorePlacement);
    steps.add(
        () ->
            stored.placements.entries().forEach(page -> records.restorePlacementPage(page.key())));
    steps.add(() -> pagesWithSecondRecords.forEach(records::rewritePage));
  }

  private void planPlacementChecks(StoreClient.Listing listing) {
    planEntries(
        listing,
        RecordWire::parsePlacement,
        (page, placement) -> {
          highestAttempts.add(placement);
          if (untypedMachine == null && cluster.type(placement.type()) == null) {
            untypedMachine = placement.machine();
          }
        });
    steps.add(
        () -> {
          if (untypedMachine != null) {
            steps.clear();
          }
        });
    for (StoreWire.Entry page : listing.entries()) {
      steps.add(
          () -> {
            if (highestAttempts.hasRepeatedTasks()) {
              forEachEntry(
                  page,
                  RecordWire::parsePlacement,
                  (key, placement) -> highestAttempts.addRepeated(placement));
            }
          });
    }
  }

  private void planJobPages(StoreClient.Listing listing) {
    Set<String> pages = new HashSet<>();
    for (StoreWire.Entry page : listing.entries()) {
      pages.add(page.key());
      steps.add(
          () -> {
            records.restoreJobPage(page.key());
            for (Notification notification : RecordWire.parseNotifications(page.value())) {
              records.restoreNotification(page.key(), notification);
            }
          });
    }
    steps.add(outbox::onJobPagesLoaded);
    planRevisions(listing);
    planEntries(
        listing,
        entry -> entry,
        (page, record) -> {
          String source = RecordWire.copySource(record);
          if (source != null && pages.contains(source)) {
            records.restoreCopy(page, source);
          } else {
            restoreJob(page, record, source);
          }
        });
  }

  /** Restores a job from its record in a page, which was copied from {@code source} if not null. */
  private void restoreJob(String page, JsonNode record, String source)
      throws MalformedMessageException {
    if (source != null) {
      records.reservePageNumber(source);
    }
    Job job = withFinalState(TermLoader.toJob(record));
    String id = job.spec.id();
    if (jobs.putIfAbsent(id, job) != null) {
      // Two jobs with one id would each start all tasks.
      log.error("Second record of a job removed: job={} page={}", id, page);
      pagesWithSecondRecords.add(page);
      return;
    }
    records.restoreJob(page, job, RecordWire.withoutCopySource(record));
    ordered.add(job);
  }

  private void restoreUnpagedJob(StoreWire.Entry entry) throws MalformedMessageException {
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

  private void planRevisions(StoreClient.Listing listing) {
    steps.add(
        () ->
            listing
                .entries()
                .forEach(page -> committer.restoreRevision(page.key(), page.revision())));
  }

  /**
   * Plans to pass on the entries of all pages, one parsed page at a time: as trees, the pages of a
   * large cluster would take more memory than the state that is restored from them.
   */
  private <T> void planEntries(
      StoreClient.Listing listing, EntryParser<T> parser, EntryConsumer<T> consumer) {
    for (StoreWire.Entry page : listing.entries()) {
      steps.add(() -> forEachEntry(page, parser, consumer));
    }
  }

  private static <T> void forEachEntry(
      StoreWire.Entry page, EntryParser<T> parser, EntryConsumer<T> consumer)
      throws MalformedMessageException {
    for (JsonNode entry : RecordWire.entries(page.value())) {
      consumer.accept(page.key(), parser.parse(entry));
    }
  }

  private void planCompletions(StoreClient.Listing listing) {
    steps.add(() -> listing.entries().forEach(page -> records.restoreCompletionPage(page.key())));
    planRevisions(listing);
    planCompletionEntries(listing, (page, job, chunk) -> job.completedTasks.or(chunk.completed()));
    planCompletionEntries(listing, records::restoreCompletions);
  }

  private void planCompletionEntries(StoreClient.Listing listing, CompletionConsumer consumer) {
    planEntries(
        listing,
        RecordWire::parseCompletions,
        (page, chunk) -> {
          Job job = jobs.get(chunk.job());
          if (job != null) {
            consumer.accept(page, job, chunk);
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
