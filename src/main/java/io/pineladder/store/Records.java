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
 * The durable records of one term, kept in step with the leader's memory: jobs, placements,
 * completions and cached images, packed into pages which only leaders write. What was read at the
 * start of the term is taken over by the {@code restore} methods before anything is stored.
 *
 * <p>Event thread only. Nothing is stored when a method returns; {@link Listener} and the callbacks
 * report what is.
 */
public final class Records {
  /** Images stored of a machine, the most recently used ones. */
  private static final int MAX_IMAGES_PER_MACHINE = 8;

  /** Placements are collected this long; a start waits for its own to be stored. */
  private static final Duration PLACEMENT_FLUSH_INTERVAL = Duration.ofMillis(40);

  private static final Duration IMAGES_FLUSH_INTERVAL = Duration.ofSeconds(2);

  /** Receives what follows when records are stored. */
  public interface Listener {
    /** The placement is stored, so the start of the task may be sent. */
    void onPlacementStored(Attempt attempt);

    /** The job's final state is stored. */
    void onFinalStateStored(Job job);

    /** The job's record is removed; only its final state is left. */
    void onRemoved(Job job);

    /**
     * Another node has stored an unpaged record of the job too, while it could not reach this
     * leader; it is to be removed together with the final state.
     *
     * @param retry to be run once {@link #setHasUnpagedRecord} was called, or there is none
     */
    void onUnpagedRecordFound(Job job, Runnable retry);
  }

  private final Listener listener;
  private final JobPages jobPages;
  private final JobPageDivider divider;
  private final JobRecords jobs;
  private final CompletionRecords completions;
  private final RecordPages<Attempt> placements;
  private final RecordPages<Machine> images;
  private final OversizedPages oversizedPages;

  /**
   * The records of one term.
   *
   * @param valueBytes the most bytes of a value that is written
   * @param unversionedValueBytes the limit by which software without a cluster version divided
   *     completions
   * @param clusterVersion the cluster version, which decides what may be written
   * @param commit takes mutations, which are carried out in their order
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
                Records::encodeImages,
                machine -> {}),
            valueBytes,
            eventLoop,
            commit);
    this.oversizedPages =
        new OversizedPages(eventLoop, commit, divider, this::evacuateOversizedPage);
  }

  // ---- placements

  /** Stores the placement of an attempt; its start may be sent once it is stored. */
  public void storePlacement(Attempt attempt) {
    placements.store(attempt);
  }

  private void onPlacementStored(Attempt attempt) {
    if (attempt.state() == Attempt.State.PLACEMENT_PENDING) {
      listener.onPlacementStored(attempt);
    }
  }

  /** Takes over a placement read at the start of a term. */
  public void restorePlacement(String page, Attempt attempt) {
    placements.restore(page, attempt, RecordWire.placement(attempt));
  }

  /** Takes over a page of placements that exists at the start of a term. */
  public void restorePlacementPage(String page) {
    placements.restorePage(page);
  }

  /**
   * These attempts are gone together with their machine: their placements are removed from the
   * store too, or the next leader would wait for a machine that does not exist.
   */
  public void removePlacements(List<Attempt> attempts) {
    placements.rewritePagesOf(attempts);
  }

  // ---- images

  /** Stores the images that the machine has cached, which have changed. */
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

  /** Takes over a page of cached images that exists at the start of a term. */
  public void restoreImagePage(String page) {
    images.restorePage(page);
  }

  // ---- completions

  /** Stores that a task of the job is complete, as the attempt reported. */
  public void storeCompletion(Job job, Attempt attempt) {
    completions.store(job, attempt);
  }

  /** Takes over a page of completions that exists at the start of a term. */
  public void restoreCompletionPage(String page) {
    completions.restorePage(page);
  }

  /**
   * Takes over an entry of completions read at the start of a term, once the job holds the
   * completions of all entries.
   */
  public void restoreCompletions(String page, Job job, RecordWire.StoredCompletions entry) {
    completions.restore(page, job, entry);
  }

  // ---- pages

  /** Stores a page anew from memory, since its value cannot be read; other keys are ignored. */
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
   * Stores what earlier leaders left too large as values that are not, a page at a time. Pages of
   * jobs may be divided only once no earlier software reads them, which would take up a copied job
   * twice.
   *
   * @param stillWanted whether the term goes on
   * @param onDivided called when a page of jobs is divided: mutations deferred for it may go on
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

  /** Whether a job's record can be stored: the user chooses how long its description is. */
  public static boolean fits(JobSpec spec, int valueBytes) {
    return JobPages.fits(RecordWire.job(spec, Instant.EPOCH, Job.State.ACTIVE), valueBytes);
  }

  /**
   * Stores a new job.
   *
   * @param onStored called when it is stored
   * @param onAlreadyExists called instead when another node has accepted it, or it has ended
   */
  public void storeAcceptance(Job job, Runnable onStored, Runnable onAlreadyExists) {
    jobs.storeAcceptance(job, onStored, onAlreadyExists);
  }

  /** Stores whether the job's tasks fail by its own fault, for the next leader. */
  public void storeFaultAttribution(Job job) {
    jobs.storeFaultAttribution(job);
  }

  /**
   * Stores the final state that the job has got. Its record stays, with that state, as long as
   * tasks of it may exist on machines.
   */
  public void storeFinalState(Job job) {
    jobs.storeFinalState(job);
  }

  /** Removes the record of an ended job of which no task exists; its final state is left. */
  public void removeJob(Job job) {
    jobs.remove(job);
  }

  /** Sets whether a job in a page has an unpaged record as well. */
  public void setHasUnpagedRecord(Job job, boolean present) {
    jobs.setHasUnpagedRecord(job, present);
  }

  /** Takes over a page of jobs that exists at the start of a term. */
  public void restoreJobPage(String page) {
    jobPages.restore(page);
  }

  /** Takes over a job in a page read at the start of a term. */
  public void restoreJob(String page, Job job, JsonNode record) {
    jobPages.restore(jobPages.restore(page), job, record);
  }

  /**
   * Takes over a copy of a job's record, read at the start of a term, that does not count: the page
   * from which it was copied still exists.
   */
  public void restoreCopy(String page, String source) {
    divider.restoreCopy(page, source);
  }

  /** A copy of a job's record counts, since the page from which it was copied is gone. */
  public void reservePageNumber(String source) {
    jobPages.reserveNumber(source);
  }

  /** Takes over a notification in a page read at the start of a term. */
  public void restoreNotification(String page, Notification notification) {
    jobPages.restore(jobPages.restore(page), notification);
  }
}
