package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.JobSpec;
import io.pineladder.model.Machine;
import io.pineladder.model.Notification;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.store.Mutation.Write;
import io.pineladder.upgrade.ClusterVersion;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the durable records in step with the leader's memory. Jobs, placements, completions and
 * cached images are packed into pages, which only leaders write; a job that a node accepted without
 * a leader has a record of its own.
 */
public final class Records {
  private static final Logger log = LoggerFactory.getLogger(Records.class);

  /** The longest range of completions in JSON, with its commas. */
  private static final int MAX_RANGE_BYTES = 16;

  /** Images remembered of a machine, the most recently used ones. */
  private static final int MAX_IMAGES_PER_MACHINE = 8;

  /** Placements gather this long; a start waits for its own to be stored. */
  private static final Duration PLACEMENT_FLUSH_INTERVAL = Duration.ofMillis(40);

  private static final Duration COMPLETION_FLUSH_INTERVAL = Duration.ofMillis(300);
  private static final Duration IMAGES_FLUSH_INTERVAL = Duration.ofSeconds(2);

  /** Jobs copied in one change of a page at the most. */
  private static final int MAX_COPIES_PER_MUTATION = 64;

  /** Between two looks for pages that are too large. */
  private static final Duration OVERSIZED_PAGE_CHECK_INTERVAL = Duration.ofSeconds(5);

  /** Between two pages of jobs: their changes yield to those that users wait for. */
  private static final Duration PAGE_DIVISION_INTERVAL = Duration.ofMillis(200);

  /** Between two pages of placements, completions or images. */
  private static final Duration PAGE_EVACUATION_INTERVAL = Duration.ofSeconds(3);

  /** What follows when records are stored. */
  public interface Listener {
    void onPlacementStored(Attempt attempt);

    /** The job's final state is stored. */
    void onFinalStateStored(Job job);

    /** The job's record is gone; only its final state is left. */
    void onRemoved(Job job);

    /**
     * Another node has stored the job too, while it could not reach this leader; its copy is to go
     * with the end. {@code again} goes on once {@link #setHasUnpagedRecord} has been told, or it is
     * not so.
     */
    void onUnpagedRecordFound(Job job, Runnable retry);
  }

  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final Listener listener;
  private final NotificationLog notificationLog;
  private final int valueBytes;
  private final JobPages jobPages;

  /** Jobs in a page that have a record of their own as well. */
  private final Set<Job> jobsWithUnpagedRecord = new HashSet<>();

  private final ClusterVersion clusterVersion;

  /** Tasks of a chunk in entries that do not tell it. */
  private final int unversionedChunkTasks;

  private final int chunkTasks;

  /** How completions are divided into chunks, by job: all entries of a job are divided alike. */
  private final Map<Job, Chunking> chunkings = new HashMap<>();

  private final RecordPages<Attempt> placements;
  private final RecordPages<Chunk> completions;
  private final RecordPages<Machine> images;
  private final Map<Job, Map<Integer, Chunk>> chunks = new HashMap<>();

  /** Pages that are too large are being stored anew. */
  private boolean dividingOversizedPages;

  /** How many tasks a chunk of a job has, and whether its entries tell it. */
  private record Chunking(int tasks, boolean explicit) {}

  /** So many tasks of a job that their completions fit into one entry, whatever their pattern. */
  private static final class Chunk {
    final Job job;
    final int number;
    final List<Attempt> waiting = new ArrayList<>();
    List<Attempt> beingStored = List.of();

    Chunk(Job job, int number) {
      this.job = job;
      this.number = number;
    }
  }

  /**
   * The records of one term.
   *
   * @param valueBytes the most bytes of a value that is written
   * @param unversionedValueBytes the limit by which software without a cluster version divided
   *     completions
   * @param version the cluster version, which says what may be written
   */
  public Records(
      int valueBytes,
      int unversionedValueBytes,
      ClusterVersion clusterVersion,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      Listener listener,
      NotificationLog notificationLog) {
    this.notificationLog = notificationLog;
    this.eventLoop = eventLoop;
    this.clusterVersion = clusterVersion;
    this.unversionedChunkTasks = chunkTasks(unversionedValueBytes);
    this.commit = commit;
    this.listener = listener;
    this.valueBytes = valueBytes;
    this.jobPages = new JobPages(valueBytes, notificationLog);
    this.chunkTasks = chunkTasks(valueBytes);
    this.placements =
        new RecordPages<>(
            RecordKeys.PLACEMENTS,
            Priority.PLACEMENT,
            PLACEMENT_FLUSH_INTERVAL,
            valueBytes,
            eventLoop,
            commit,
            Attempt::holdsCapacity,
            RecordWire::placement,
            this::placementStored);
    this.completions =
        new RecordPages<>(
            RecordKeys.COMPLETIONS,
            Priority.COMPLETION,
            COMPLETION_FLUSH_INTERVAL,
            valueBytes,
            eventLoop,
            commit,
            chunk -> !chunk.job.finalStatePending,
            this::encodeCompletions,
            this::completionsStored);
    this.images =
        new RecordPages<>(
            RecordKeys.CACHED_IMAGES,
            Priority.CLEANUP,
            IMAGES_FLUSH_INTERVAL,
            valueBytes,
            eventLoop,
            commit,
            machine -> machine.state() != Machine.State.GONE,
            Records::encodeImages,
            machine -> {});
  }

  /** Tasks of a chunk, such that no pattern of completions outgrows half a page. */
  static int chunkTasks(int valueBytes) {
    return Math.max(16, RecordPages.capacity(valueBytes) / 2 / MAX_RANGE_BYTES - 8);
  }

  // ---- placements

  /** The attempt is decided on; its start may go out once it is stored. */
  public void storePlacement(Attempt attempt) {
    placements.store(attempt);
  }

  private void placementStored(Attempt attempt) {
    if (attempt.state() == Attempt.State.PLACEMENT_PENDING) {
      listener.onPlacementStored(attempt);
    }
  }

  /** A placement read at the start of a term. */
  public void restorePlacement(String page, Attempt attempt) {
    placements.restore(page, attempt, RecordWire.placement(attempt));
  }

  public void restorePlacementPage(String page) {
    placements.restorePage(page);
  }

  /**
   * These attempts are gone together with their machine: what is stored of them is to go too, or
   * the next leader would wait for a machine that is not there.
   */
  public void removePlacements(List<Attempt> attempts) {
    placements.rewritePagesOf(attempts);
  }

  // ---- images

  /** The machine has got another image. */
  public void storeImages(Machine machine) {
    images.store(machine);
  }

  private static JsonNode encodeImages(Machine machine) {
    Map<String, Double> kept = new LinkedHashMap<>();
    List<String> cached = new ArrayList<>(machine.images.keySet());
    int from = Math.max(0, cached.size() - MAX_IMAGES_PER_MACHINE);
    for (String image : cached.subList(from, cached.size())) {
      kept.put(image, machine.images.get(image));
    }
    return RecordWire.images(machine.name, kept);
  }

  public void restoreImagePage(String page) {
    images.restorePage(page);
  }

  // ---- completions

  /** A task of the job is complete, as {@code attempt} reported. */
  public void storeCompletion(Job job, Attempt attempt) {
    Chunk chunk = chunk(job, attempt.task / chunkingOf(job).tasks);
    chunk.waiting.add(attempt);
    if (!job.finalStatePending) {
      completions.store(chunk);
    }
  }

  private Chunking chunkingOf(Job job) {
    return chunkings.computeIfAbsent(
        job,
        j ->
            clusterVersion.inForce() >= ClusterVersion.CHAINED_JOBS
                ? new Chunking(chunkTasks, true)
                : new Chunking(unversionedChunkTasks, false));
  }

  private Chunk chunk(Job job, int number) {
    return chunks
        .computeIfAbsent(job, j -> new HashMap<>())
        .computeIfAbsent(number, n -> new Chunk(job, n));
  }

  private JsonNode encodeCompletions(Chunk chunk) {
    chunk.beingStored = List.copyOf(chunk.waiting);
    BitSet done = chunk.job.done;
    if (!chunk.job.unprovenDone.isEmpty()) {
      done = (BitSet) done.clone();
      done.andNot(chunk.job.unprovenDone);
    }
    Chunking chunking = chunkingOf(chunk.job);
    String id = chunk.job.spec.id();
    return chunking.explicit
        ? RecordWire.completionsWithChunkSize(id, done, chunk.number, chunking.tasks)
        : RecordWire.completions(id, done, chunk.number, chunking.tasks);
  }

  private void completionsStored(Chunk chunk) {
    chunk.beingStored.forEach(a -> a.mayBeForgotten = true);
    chunk.waiting.removeAll(chunk.beingStored);
    chunk.beingStored = List.of();
  }

  public void restoreCompletionPage(String page) {
    completions.restorePage(page);
  }

  /**
   * An entry read at the start of a term, once the job holds the completions of all entries. Of a
   * chunk's copies the newest holds everything, and only that one must not be lost. Entries that
   * are divided otherwise than the job's first one are stored anew as that one is.
   */
  public void restoreCompletions(String page, Job job, RecordWire.StoredCompletions entry) {
    Chunking stored =
        entry.chunkTasks() == 0
            ? new Chunking(unversionedChunkTasks, false)
            : new Chunking(entry.chunkTasks(), true);
    Chunking chunking = chunkings.computeIfAbsent(job, j -> stored);
    if (!chunking.equals(stored)) {
      int last = job.spec.tasks() / chunking.tasks;
      for (int number = 0; number <= last; number++) {
        completions.store(chunk(job, number));
      }
      return;
    }
    Chunk chunk = chunk(job, entry.chunk());
    JsonNode all = encodeCompletions(chunk);
    if (entry.json().equals(all)) {
      completions.restore(page, chunk, all);
    }
  }

  /** Stores a record anew as it should be, since what stands there cannot be read. */
  public void rewritePage(String key) {
    if (key.startsWith(RecordKeys.JOB_PAGES)) {
      commit.accept(
          Mutation.withPageEdits(
              Priority.CLEANUP,
              List.of(),
              List.of(jobPages.rewrite(key)),
              List.of(),
              () -> {},
              null));
    } else if (key.startsWith(RecordKeys.PLACEMENTS)) {
      placements.rewritePage(key);
    } else if (key.startsWith(RecordKeys.COMPLETIONS)) {
      completions.rewritePage(key);
    } else if (key.startsWith(RecordKeys.CACHED_IMAGES)) {
      images.rewritePage(key);
    }
  }

  // ---- values that are larger than they may be now

  /**
   * Stores what earlier leaders left too large as values that are not, a page at a time. Pages of
   * jobs are divided only once no software of before reads them, which would take up a copied job
   * twice.
   *
   * @param wanted whether the term goes on
   * @param onDivided called when a page of jobs is divided: what waited for it may go on
   */
  public void divideOversizedPages(BooleanSupplier stillWanted, Runnable onDivided) {
    if (dividingOversizedPages) {
      return;
    }
    dividingOversizedPages = true;
    jobPages.markOversizedPages();
    divideJobPages(stillWanted, onDivided);
    evacuatePages(stillWanted);
  }

  private void divideJobPages(BooleanSupplier stillWanted, Runnable onDivided) {
    if (!stillWanted.getAsBoolean()) {
      return;
    }
    JobPages.Page page = jobPages.nextOversizedPage();
    if (page == null) {
      eventLoop.schedule(
          OVERSIZED_PAGE_CHECK_INTERVAL, () -> divideJobPages(stillWanted, onDivided));
      return;
    }
    log.info("{} is divided, since it is larger than a value may be", page.key);
    jobPages.divide(
        page,
        MAX_COPIES_PER_MUTATION,
        commit,
        () -> {
          onDivided.run();
          eventLoop.schedule(PAGE_DIVISION_INTERVAL, () -> divideJobPages(stillWanted, onDivided));
        });
  }

  private void evacuatePages(BooleanSupplier stillWanted) {
    if (stillWanted.getAsBoolean()) {
      // One of any kind at a time: what the store takes in a second is needed for service.
      boolean any =
          placements.evacuateOversizedPage()
              || completions.evacuateOversizedPage()
              || images.evacuateOversizedPage();
      eventLoop.schedule(
          any ? PAGE_EVACUATION_INTERVAL : OVERSIZED_PAGE_CHECK_INTERVAL,
          () -> evacuatePages(stillWanted));
    }
  }

  // ---- jobs

  private static JsonNode encodeJob(Job job) {
    ObjectNode value = RecordWire.job(job.spec, job.acceptedAt, job.state());
    return job.failing ? value.put("at_fault", true) : value;
  }

  /** Whether a job's record can be stored: the user chooses how long its description is. */
  public static boolean fits(JobSpec spec, int valueBytes) {
    return JobPages.fits(RecordWire.job(spec, Instant.EPOCH, Job.State.ACTIVE), valueBytes);
  }

  /**
   * Stores a new job; {@code onExists} is called instead of {@code onStored} when another node has
   * accepted it, or it is over.
   */
  public void storeAcceptance(Job job, Runnable onStored, Runnable onExists) {
    String id = job.spec.id();
    commit.accept(
        Mutation.withPageEdits(
            Priority.ACCEPTANCE,
            List.of(),
            List.of(jobPages.addRecord(job, () -> encodeJob(job))),
            List.of(RecordKeys.UNPAGED_JOB + id, RecordKeys.FINAL_STATE + id),
            onStored,
            () -> {
              jobPages.remove(job);
              onExists.run();
            }));
  }

  /** A page of jobs read at the start of a term. */
  public void restoreJobPage(String page) {
    jobPages.restore(page);
  }

  /** A job in a page read at the start of a term. */
  public void restoreJob(String page, Job job, JsonNode record) {
    jobPages.restore(jobPages.restore(page), job, record);
  }

  /**
   * A copy of a job's record, read at the start of a term, that does not count: the page which it
   * was made of is there.
   */
  public void restoreCopy(String page, String source) {
    jobPages.restoreCopy(page, source);
  }

  /** A copy of a job's record that counts, since the page that it was made of is gone. */
  public void reservePageNumber(String source) {
    jobPages.reserveNumber(source);
  }

  /** A notice in a page read at the start of a term. */
  public void restoreNotification(String page, Notification notification) {
    jobPages.restore(jobPages.restore(page), notification);
  }

  /** The job has a record of its own as well as one in a page. */
  public void setHasUnpagedRecord(Job job, boolean present) {
    if (present) {
      jobsWithUnpagedRecord.add(job);
    } else {
      jobsWithUnpagedRecord.remove(job);
    }
  }

  /** The job was found to be at fault, or not to be: the next leader need not find out anew. */
  public void storeFaultAttribution(Job job) {
    boolean paged = jobPages.pageOf(job) != null;
    commit.accept(
        new Mutation(
            Priority.CLEANUP,
            paged ? List.of() : List.of(putUnpagedRecord(job)),
            paged ? List.of(jobPages.replaceRecord(job, () -> encodeJob(job))) : List.of(),
            List.of(),
            () -> !job.finalStatePending,
            () -> {},
            null));
  }

  private static Write putUnpagedRecord(Job job) {
    return new Write(RecordKeys.UNPAGED_JOB + job.spec.id(), () -> encodeJob(job));
  }

  /** The job is over. While tasks of it may be somewhere its record stays, with the final state. */
  public void storeFinalState(Job job) {
    job.finalStatePending = true;
    if (job.attempts.isEmpty()) {
      removeJob(job);
      return;
    }
    Runnable onStored =
        () -> {
          finalStateStored(job);
          if (job.attempts.isEmpty()) {
            removeJob(job);
          }
        };
    if (jobPages.pageOf(job) == null) {
      commit.accept(
          Mutation.withPageEdits(
              finalStatePriority(job),
              List.of(putUnpagedRecord(job)),
              notificationEdits(job, false),
              List.of(),
              onStored,
              null));
    } else {
      // The final state has its own key at once: nodes without a leader look for it there.
      storePagedFinalState(
          job,
          () ->
              prepend(
                  jobPages.replaceRecord(job, () -> encodeJob(job)), notificationEdits(job, false)),
          onStored);
    }
  }

  /** Nothing of an ended job is anywhere any more: only its final state is kept. */
  public void removeJob(Job job) {
    if (job.recordRemovalPending) {
      return;
    }
    job.recordRemovalPending = true;
    Runnable onStored =
        () -> {
          jobPages.remove(job);
          jobsWithUnpagedRecord.remove(job);
          finalStateStored(job);
          listener.onRemoved(job);
        };
    if (jobPages.pageOf(job) == null) {
      commit.accept(
          Mutation.withPageEdits(
              finalStatePriority(job),
              List.of(putFinalState(job), deleteUnpagedRecord(job)),
              notificationEdits(job, true),
              List.of(),
              onStored,
              null));
    } else if (job.finalStateStored) {
      commit.accept(
          Mutation.withPageEdits(
              Priority.CLEANUP,
              List.of(),
              List.of(jobPages.removeRecord(job)),
              List.of(),
              onStored,
              null));
    } else {
      storePagedFinalState(
          job, () -> prepend(jobPages.removeRecord(job), notificationEdits(job, true)), onStored);
    }
  }

  private static List<JobPages.Edit> prepend(JobPages.Edit edit, List<JobPages.Edit> more) {
    List<JobPages.Edit> all = new ArrayList<>(more);
    all.add(0, edit);
    return all;
  }

  /**
   * The notice of a final state, for the transaction that stores that state first: in one of its
   * own either could be there without the other.
   */
  private List<JobPages.Edit> notificationEdits(Job job, boolean leaves) {
    return job.finalStateStored || !notificationLog.hasSubscribers()
        ? List.of()
        : List.of(jobPages.addNotification(job, leaves));
  }

  /**
   * Stores the final state of a job in a page, and sees to it that no record of its own is left: a
   * node that reached the store and not this leader may have stored the job again, and the copy
   * would bring it back to life. Once the final state is there nobody creates another.
   */
  private void storePagedFinalState(
      Job job, Supplier<List<JobPages.Edit>> edits, Runnable onStored) {
    boolean hasUnpagedRecord = jobsWithUnpagedRecord.contains(job);
    commit.accept(
        Mutation.withPageEdits(
            finalStatePriority(job),
            hasUnpagedRecord
                ? List.of(putFinalState(job), deleteUnpagedRecord(job))
                : List.of(putFinalState(job)),
            edits.get(),
            hasUnpagedRecord ? List.of() : List.of(RecordKeys.UNPAGED_JOB + job.spec.id()),
            () -> {
              jobsWithUnpagedRecord.remove(job);
              onStored.run();
            },
            () ->
                listener.onUnpagedRecordFound(
                    job, () -> storePagedFinalState(job, edits, onStored))));
  }

  /** A final state that follows from another one is known without its record, which can wait. */
  private static Priority finalStatePriority(Job job) {
    return job.cancelledByDependency ? Priority.CLEANUP : Priority.FINAL_STATE;
  }

  private static Write putFinalState(Job job) {
    return new Write(
        RecordKeys.FINAL_STATE + job.spec.id(), () -> RecordWire.finalState(job.state()));
  }

  private static Write deleteUnpagedRecord(Job job) {
    return new Write(RecordKeys.UNPAGED_JOB + job.spec.id(), () -> null);
  }

  private void finalStateStored(Job job) {
    boolean first = !job.finalStateStored;
    job.finalStateStored = true;
    chunkings.remove(job);
    Map<Integer, Chunk> of = chunks.remove(job);
    if (of != null) {
      of.values().forEach(chunk -> chunk.waiting.forEach(a -> a.mayBeForgotten = true));
    }
    if (first) {
      listener.onFinalStateStored(job);
    }
  }
}
