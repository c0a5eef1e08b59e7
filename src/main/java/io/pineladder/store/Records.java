package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.Notification;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Writes the leader's in-memory state to the durable records: jobs, placements, completions and
 * cached images, packed into pages that only leaders write. The {@code restore} methods register
 * the records read at the start of the term, before anything is stored.
 *
 * <p>Event thread only. The methods are asynchronous: {@link Listener} and the callbacks report
 * what is committed.
 */
public final class Records {
  /** Maximum number of images stored per machine, the most recently used ones. */
  private static final int MAX_IMAGES_PER_MACHINE = 8;

  /** Short, because a task starts only after its placement is committed. */
  private static final Duration PLACEMENT_FLUSH_INTERVAL = Duration.ofMillis(40);

  private static final Duration IMAGES_FLUSH_INTERVAL = Duration.ofSeconds(2);

  /** Notified when records are committed. */
  public interface Listener {
    /** The placement is committed, so the command to start the task may be sent. */
    void onPlacementStored(Attempt attempt);

    void onFinalStateStored(Job job);

    /** The job's record is removed; only its final state remains. */
    void onRemoved(Job job);

    /**
     * The final state was not stored because another controller, which could not reach this leader,
     * has stored an unpaged record of the job. That record must be removed in the same transaction.
     *
     * @param retry stores the final state again; to be run after {@link #setHasUnpagedRecord} was
     *     called with the result of reading the unpaged record
     */
    void onUnpagedRecordFound(Job job, Runnable retry);
  }

  private final Listener listener;
  private final JobPages jobPages;
  private final JobPageDivider divider;
  private final JobRecords jobs;
  private final CompletionRecords completions;
  private final RecordPages<Attempt, String> placements;
  private final RecordPages<Machine, byte[]> images;
  private final OversizedPages oversizedPages;

  /**
   * Creates the records of one term.
   *
   * @param valueBytes maximum size of a value to write
   * @param unversionedValueBytes the value limit that determines the chunk size of completions
   *     written by software without a cluster version
   * @param clusterVersion determines which record formats may be written
   * @param commit accepts mutations, which are committed in order
   */
  public Records(
      int valueBytes,
      int unversionedValueBytes,
      ClusterVersion clusterVersion,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      Listener listener,
      NotificationLog notificationLog) {
    this.listener = listener;
    this.jobPages = new JobPages(valueBytes, notificationLog);
    this.divider = new JobPageDivider(jobPages);
    this.completions =
        new CompletionRecords(valueBytes, unversionedValueBytes, clusterVersion, eventLoop, commit);
    this.jobs = new JobRecords(jobPages, completions, commit, listener, notificationLog);
    this.placements =
        new RecordPages<>(
            new RecordPages.EntryKind<>(
                RecordKeys.PLACEMENTS,
                Priority.PLACEMENT,
                PLACEMENT_FLUSH_INTERVAL,
                Attempt::holdsCapacity,
                attempt -> attempt.machine.address,
                RecordWire::placement,
                this::onPlacementStored),
            valueBytes,
            eventLoop,
            commit);
    this.images =
        new RecordPages<>(
            new RecordPages.EntryKind<>(
                RecordKeys.CACHED_IMAGES,
                Priority.CLEANUP,
                IMAGES_FLUSH_INTERVAL,
                machine -> machine.state() != Machine.State.GONE,
                machine -> Json.bytes(encodeImages(machine)),
                (machine, encoded) -> Json.decode(encoded),
                machine -> {}),
            valueBytes,
            eventLoop,
            commit);
    this.oversizedPages =
        new OversizedPages(eventLoop, commit, divider, this::evacuateOversizedPage);
  }

  /** Drops all entries, after the term has ended and the committer was closed. */
  public void clear() {
    jobPages.clear();
    completions.clear();
    placements.clear();
    images.clear();
  }

  // ---- placements

  /** Stores the placement of an attempt; see {@link Listener#onPlacementStored}. */
  public void storePlacement(Attempt attempt) {
    placements.store(attempt);
  }

  private void onPlacementStored(Attempt attempt) {
    if (attempt.state() == Attempt.State.PLACEMENT_PENDING) {
      listener.onPlacementStored(attempt);
    }
  }

  /** Restores a placement read at the start of a term. */
  public void restorePlacement(String page, Attempt attempt) {
    placements.restore(page, attempt, attempt.machine.address);
  }

  /** Registers a page of placements that exists at the start of a term. */
  public void restorePlacementPage(String page) {
    placements.restorePage(page);
  }

  /**
   * Removes the placements of attempts whose machine is gone, so that the next leader does not wait
   * for a machine that does not exist.
   */
  public void removePlacements(List<Attempt> attempts) {
    placements.rewritePagesOf(attempts);
  }

  // ---- images

  /** Stores the cached images of a machine, which have changed. */
  public void storeImages(Machine machine) {
    images.store(machine);
  }

  private static JsonNode encodeImages(Machine machine) {
    Map<String, Double> stored = new LinkedHashMap<>();
    List<String> cached = new ArrayList<>(machine.images.keySet());
    int from = Math.max(0, cached.size() - MAX_IMAGES_PER_MACHINE);
    for (String image : cached.subList(from, cached.size())) {
      stored.put(image, machine.images.get(image));
    }
    return RecordWire.images(machine.name, stored);
  }

  /** Registers a page of cached images that exists at the start of a term. */
  public void restoreImagePage(String page) {
    images.restorePage(page);
  }

  // ---- completions

  /** Stores that the attempt's task is complete. */
  public void storeCompletion(Job job, Attempt attempt) {
    completions.store(job, attempt);
  }

  /** Registers a page of completions that exists at the start of a term. */
  public void restoreCompletionPage(String page) {
    completions.restorePage(page);
  }

  /**
   * Restores an entry of completions read at the start of a term. To be called after the
   * completions of all entries were added to the job.
   */
  public void restoreCompletions(String page, Job job, RecordWire.StoredCompletions entry) {
    completions.restore(page, job, entry);
  }

  // ---- pages

  /** Writes a page again from memory, because its value cannot be read; ignores other keys. */
  public void rewritePage(String key) {
    if (key.startsWith(RecordKeys.JOB_PAGES)) {
      jobs.rewritePage(key);
    } else if (key.startsWith(RecordKeys.PLACEMENTS)) {
      placements.rewritePage(key);
    } else if (key.startsWith(RecordKeys.COMPLETIONS)) {
      completions.rewritePage(key);
    } else if (key.startsWith(RecordKeys.CACHED_IMAGES)) {
      images.rewritePage(key);
    }
  }

  /**
   * Starts to divide and evacuate pages that exceed the value limit, one at a time. To be called
   * only when no controller runs software that does not know copies of job records, as it would
   * restore a copied job twice.
   *
   * @param stillWanted whether the term is still active
   * @param onDivided called when a job page is divided, after which deferred mutations may proceed
   */
  public void divideOversizedPages(BooleanSupplier stillWanted, Runnable onDivided) {
    oversizedPages.start(stillWanted, onDivided);
  }

  private boolean evacuateOversizedPage() {
    return placements.evacuateOversizedPage()
        || completions.evacuateOversizedPage()
        || images.evacuateOversizedPage();
  }

  // ---- jobs

  /** Whether a job's record fits into a page; the user determines the length of its spec. */
  public static boolean fits(JobSpec spec, int valueBytes) {
    return JobPages.fits(RecordWire.job(spec, Instant.EPOCH, Job.State.ACTIVE), valueBytes);
  }

  /**
   * Stores a new job.
   *
   * @param onStored called when the job's record is committed
   * @param onAlreadyExists called instead if another controller has accepted the job or it has a
   *     final state
   */
  public void storeAcceptance(Job job, Runnable onStored, Runnable onAlreadyExists) {
    jobs.storeAcceptance(job, onStored, onAlreadyExists);
  }

  /** Stores whether the job itself is at fault for the failures of its tasks. */
  public void storeFaultAttribution(Job job) {
    jobs.storeFaultAttribution(job);
  }

  /**
   * Stores the final state of a job. Its record is retained, with that state, while its tasks may
   * exist on machines.
   */
  public void storeFinalState(Job job) {
    jobs.storeFinalState(job);
  }

  /** Removes the record of a job in a final state of which no task exists on any machine. */
  public void removeJob(Job job) {
    jobs.remove(job);
  }

  /** Sets whether a job with a record in a page also has an unpaged record. */
  public void setHasUnpagedRecord(Job job, boolean present) {
    jobs.setHasUnpagedRecord(job, present);
  }

  /** Registers a job page that exists at the start of a term. */
  public void restoreJobPage(String page) {
    jobPages.restore(page);
  }

  /** Restores a job's record read at the start of a term. */
  public void restoreJob(String page, Job job, JsonNode record) {
    jobPages.restore(jobPages.restore(page), job, record);
  }

  /**
   * Registers a copy of a job's record, read at the start of a term, that is ignored because the
   * page that it was copied from still exists.
   */
  public void restoreCopy(String page, String source) {
    divider.restoreCopy(page, source);
  }

  /**
   * Excludes the number of a deleted page from use for new pages, because copies made from it exist
   * and would be ignored if a page with its key existed again.
   */
  public void reservePageNumber(String source) {
    jobPages.reserveNumber(source);
  }

  /** Restores a notification read at the start of a term. */
  public void restoreNotification(String page, Notification notification) {
    jobPages.restore(jobPages.restore(page), notification);
  }
}
