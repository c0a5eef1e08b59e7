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
  private static final int RANGE_BYTES = 16;

  /** Images remembered of a machine, the most recently used ones. */
  private static final int IMAGES_KEPT = 8;

  /** Placements gather this long; a start waits for its own to be stored. */
  private static final Duration PLACE_PACE = Duration.ofMillis(40);

  private static final Duration DONE_PACE = Duration.ofMillis(300);
  private static final Duration IMAGES_PACE = Duration.ofSeconds(2);

  /** Jobs copied in one change of a page at the most. */
  private static final int MOST_COPIES = 64;

  /** Between two looks for pages that are too large. */
  private static final Duration SHRINK_PACE = Duration.ofSeconds(5);

  /** Between two pages of jobs: their changes yield to those that users wait for. */
  private static final Duration DIVIDE_PACE = Duration.ofMillis(200);

  /** Between two pages of placements, completions or images. */
  private static final Duration EMPTY_PACE = Duration.ofSeconds(3);

  /** What follows when records are stored. */
  public interface Listener {
    void onPlacementStored(Attempt attempt);

    /** The job's final state is stored. */
    void onEndStored(Job job);

    /** The job's record is gone; only its final state is left. */
    void onRemoved(Job job);

    /**
     * Another node has stored the job too, while it could not reach this leader; its copy is to go
     * with the end. {@code again} goes on once {@link #knownTwice} has been told, or it is not so.
     */
    void onStoredTwice(Job job, Runnable again);
  }

  private final EventLoop eventLoop;
  private final Consumer<Mutation> commit;
  private final Listener listener;
  private final NotificationLog notificationLog;
  private final int valueBytes;
  private final JobPages jobs;

  /** Jobs in a page that have a record of their own as well. */
  private final Set<Job> twice = new HashSet<>();

  private final ClusterVersion version;

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
  private boolean shrinking;

  /** How many tasks a chunk of a job has, and whether its entries tell it. */
  private record Chunking(int tasks, boolean told) {}

  /** So many tasks of a job that their completions fit into one entry, whatever their pattern. */
  private static final class Chunk {
    final Job job;
    final int number;
    final List<Attempt> waiting = new ArrayList<>();
    List<Attempt> included = List.of();

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
      ClusterVersion version,
      EventLoop eventLoop,
      Consumer<Mutation> commit,
      Listener listener,
      NotificationLog notificationLog) {
    this.notificationLog = notificationLog;
    this.eventLoop = eventLoop;
    this.version = version;
    this.unversionedChunkTasks = chunkTasks(unversionedValueBytes);
    this.commit = commit;
    this.listener = listener;
    this.valueBytes = valueBytes;
    this.jobs = new JobPages(valueBytes, notificationLog);
    this.chunkTasks = chunkTasks(valueBytes);
    this.placements =
        new RecordPages<>(
            RecordKeys.PLACED,
            Priority.PLACE,
            PLACE_PACE,
            valueBytes,
            eventLoop,
            commit,
            Attempt::holdsCapacity,
            RecordWire::placement,
            this::placementStored);
    this.completions =
        new RecordPages<>(
            RecordKeys.DONE,
            Priority.COMPLETE,
            DONE_PACE,
            valueBytes,
            eventLoop,
            commit,
            chunk -> !chunk.job.finalStatePending,
            this::encode,
            this::completionsStored);
    this.images =
        new RecordPages<>(
            RecordKeys.IMAGES,
            Priority.TIDY,
            IMAGES_PACE,
            valueBytes,
            eventLoop,
            commit,
            machine -> machine.state() != Machine.State.GONE,
            Records::encodeImages,
            machine -> {});
  }

  /** Tasks of a chunk, such that no pattern of completions outgrows half a page. */
  static int chunkTasks(int valueBytes) {
    return Math.max(16, RecordPages.capacity(valueBytes) / 2 / RANGE_BYTES - 8);
  }

  // ---- placements

  /** The attempt is decided on; its start may go out once it is stored. */
  public void placementDue(Attempt attempt) {
    placements.due(attempt);
  }

  private void placementStored(Attempt attempt) {
    if (attempt.state() == Attempt.State.PLACEMENT_PENDING) {
      listener.onPlacementStored(attempt);
    }
  }

  /** A placement read at the start of a term. */
  public void knownPlacement(String page, Attempt attempt) {
    placements.known(page, attempt, RecordWire.placement(attempt));
  }

  public void knownPlacements(String page) {
    placements.knownPage(page);
  }

  /**
   * These attempts are gone together with their machine: what is stored of them is to go too, or
   * the next leader would wait for a machine that is not there.
   */
  public void machineGone(List<Attempt> attempts) {
    placements.tidy(attempts);
  }

  // ---- images

  /** The machine has got another image. */
  public void imagesDue(Machine machine) {
    images.due(machine);
  }

  private static JsonNode encodeImages(Machine machine) {
    Map<String, Double> kept = new LinkedHashMap<>();
    List<String> cached = new ArrayList<>(machine.images.keySet());
    int from = Math.max(0, cached.size() - IMAGES_KEPT);
    for (String image : cached.subList(from, cached.size())) {
      kept.put(image, machine.images.get(image));
    }
    return RecordWire.images(machine.name, kept);
  }

  public void knownImages(String page) {
    images.knownPage(page);
  }

  // ---- completions

  /** A task of the job is complete, as {@code attempt} reported. */
  public void taskDone(Job job, Attempt attempt) {
    Chunk chunk = chunk(job, attempt.task / chunkingOf(job).tasks);
    chunk.waiting.add(attempt);
    if (!job.finalStatePending) {
      completions.due(chunk);
    }
  }

  private Chunking chunkingOf(Job job) {
    return chunkings.computeIfAbsent(
        job,
        j ->
            version.inForce() >= ClusterVersion.CHAINED_JOBS
                ? new Chunking(chunkTasks, true)
                : new Chunking(unversionedChunkTasks, false));
  }

  private Chunk chunk(Job job, int number) {
    return chunks
        .computeIfAbsent(job, j -> new HashMap<>())
        .computeIfAbsent(number, n -> new Chunk(job, n));
  }

  private JsonNode encode(Chunk chunk) {
    chunk.included = List.copyOf(chunk.waiting);
    BitSet done = chunk.job.done;
    if (!chunk.job.unprovenDone.isEmpty()) {
      done = (BitSet) done.clone();
      done.andNot(chunk.job.unprovenDone);
    }
    Chunking chunking = chunkingOf(chunk.job);
    String id = chunk.job.spec.id();
    return chunking.told
        ? RecordWire.sizedDone(id, done, chunk.number, chunking.tasks)
        : RecordWire.done(id, done, chunk.number, chunking.tasks);
  }

  private void completionsStored(Chunk chunk) {
    chunk.included.forEach(a -> a.mayBeForgotten = true);
    chunk.waiting.removeAll(chunk.included);
    chunk.included = List.of();
  }

  public void knownCompletions(String page) {
    completions.knownPage(page);
  }

  /**
   * An entry read at the start of a term, once the job holds the completions of all entries. Of a
   * chunk's copies the newest holds everything, and only that one must not be lost. Entries that
   * are divided otherwise than the job's first one are stored anew as that one is.
   */
  public void knownDone(String page, Job job, RecordWire.StoredDone entry) {
    Chunking stored =
        entry.chunkTasks() == 0
            ? new Chunking(unversionedChunkTasks, false)
            : new Chunking(entry.chunkTasks(), true);
    Chunking chunking = chunkings.computeIfAbsent(job, j -> stored);
    if (!chunking.equals(stored)) {
      int last = job.spec.tasks() / chunking.tasks;
      for (int number = 0; number <= last; number++) {
        completions.due(chunk(job, number));
      }
      return;
    }
    Chunk chunk = chunk(job, entry.chunk());
    JsonNode all = encode(chunk);
    if (entry.json().equals(all)) {
      completions.known(page, chunk, all);
    }
  }

  /** Stores a record anew as it should be, since what stands there cannot be read. */
  public void rewrite(String key) {
    if (key.startsWith(RecordKeys.ACCEPTED)) {
      commit.accept(
          Mutation.editing(
              Priority.TIDY, List.of(), List.of(jobs.touch(key)), List.of(), () -> {}, null));
    } else if (key.startsWith(RecordKeys.PLACED)) {
      placements.rewrite(key);
    } else if (key.startsWith(RecordKeys.DONE)) {
      completions.rewrite(key);
    } else if (key.startsWith(RecordKeys.IMAGES)) {
      images.rewrite(key);
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
  public void shrinkPages(BooleanSupplier wanted, Runnable onDivided) {
    if (shrinking) {
      return;
    }
    shrinking = true;
    jobs.shrink();
    dividePages(wanted, onDivided);
    emptyPages(wanted);
  }

  private void dividePages(BooleanSupplier wanted, Runnable onDivided) {
    if (!wanted.getAsBoolean()) {
      return;
    }
    JobPages.Page page = jobs.tooLarge();
    if (page == null) {
      eventLoop.schedule(SHRINK_PACE, () -> dividePages(wanted, onDivided));
      return;
    }
    log.info("{} is divided, since it is larger than a value may be", page.key);
    jobs.divide(
        page,
        MOST_COPIES,
        commit,
        () -> {
          onDivided.run();
          eventLoop.schedule(DIVIDE_PACE, () -> dividePages(wanted, onDivided));
        });
  }

  private void emptyPages(BooleanSupplier wanted) {
    if (wanted.getAsBoolean()) {
      // One of any kind at a time: what the store takes in a second is needed for service.
      boolean any =
          placements.emptyTooLarge() || completions.emptyTooLarge() || images.emptyTooLarge();
      eventLoop.schedule(any ? EMPTY_PACE : SHRINK_PACE, () -> emptyPages(wanted));
    }
  }

  // ---- jobs

  private static JsonNode jobValue(Job job) {
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
  public void accept(Job job, Runnable onStored, Runnable onExists) {
    String id = job.spec.id();
    commit.accept(
        Mutation.editing(
            Priority.ACCEPT,
            List.of(),
            List.of(jobs.add(job, () -> jobValue(job))),
            List.of(RecordKeys.JOB + id, RecordKeys.END + id),
            onStored,
            () -> {
              jobs.forget(job);
              onExists.run();
            }));
  }

  /** A page of jobs read at the start of a term. */
  public void knownJobs(String page) {
    jobs.known(page);
  }

  /** A job in a page read at the start of a term. */
  public void knownJob(String page, Job job, JsonNode record) {
    jobs.known(jobs.known(page), job, record);
  }

  /**
   * A copy of a job's record, read at the start of a term, that does not count: the page which it
   * was made of is there.
   */
  public void knownCopy(String page, String source) {
    jobs.knownCopy(page, source);
  }

  /** A copy of a job's record that counts, since the page that it was made of is gone. */
  public void knownDivided(String source) {
    jobs.reserveNumber(source);
  }

  /** A notice in a page read at the start of a term. */
  public void knownNotice(String page, Notification notification) {
    jobs.known(jobs.known(page), notification);
  }

  /** The job has a record of its own as well as one in a page. */
  public void knownTwice(Job job, boolean is) {
    if (is) {
      twice.add(job);
    } else {
      twice.remove(job);
    }
  }

  /** The job was found to be at fault, or not to be: the next leader need not find out anew. */
  public void verdict(Job job) {
    boolean paged = jobs.homeOf(job) != null;
    commit.accept(
        new Mutation(
            Priority.TIDY,
            paged ? List.of() : List.of(ownRecord(job)),
            paged ? List.of(jobs.replace(job, () -> jobValue(job))) : List.of(),
            List.of(),
            () -> !job.finalStatePending,
            () -> {},
            null));
  }

  private static Write ownRecord(Job job) {
    return new Write(RecordKeys.JOB + job.spec.id(), () -> jobValue(job));
  }

  /** The job is over. While tasks of it may be somewhere its record stays, with the final state. */
  public void end(Job job) {
    job.finalStatePending = true;
    if (job.attempts.isEmpty()) {
      remove(job);
      return;
    }
    Runnable onStored =
        () -> {
          endStored(job);
          if (job.attempts.isEmpty()) {
            remove(job);
          }
        };
    if (jobs.homeOf(job) == null) {
      commit.accept(
          Mutation.editing(
              endPriority(job),
              List.of(ownRecord(job)),
              note(job, false),
              List.of(),
              onStored,
              null));
    } else {
      // The final state has its own key at once: nodes without a leader look for it there.
      endPaged(job, () -> with(jobs.replace(job, () -> jobValue(job)), note(job, false)), onStored);
    }
  }

  /** Nothing of an ended job is anywhere any more: only its final state is kept. */
  public void remove(Job job) {
    if (job.recordRemovalPending) {
      return;
    }
    job.recordRemovalPending = true;
    Runnable onStored =
        () -> {
          jobs.forget(job);
          twice.remove(job);
          endStored(job);
          listener.onRemoved(job);
        };
    if (jobs.homeOf(job) == null) {
      commit.accept(
          Mutation.editing(
              endPriority(job),
              List.of(finalState(job), noOwnRecord(job)),
              note(job, true),
              List.of(),
              onStored,
              null));
    } else if (job.finalStateStored) {
      commit.accept(
          Mutation.editing(
              Priority.TIDY, List.of(), List.of(jobs.remove(job)), List.of(), onStored, null));
    } else {
      endPaged(job, () -> with(jobs.remove(job), note(job, true)), onStored);
    }
  }

  private static List<JobPages.Edit> with(JobPages.Edit edit, List<JobPages.Edit> more) {
    List<JobPages.Edit> all = new ArrayList<>(more);
    all.add(0, edit);
    return all;
  }

  /**
   * The notice of a final state, for the transaction that stores that state first: in one of its
   * own either could be there without the other.
   */
  private List<JobPages.Edit> note(Job job, boolean leaves) {
    return job.finalStateStored || !notificationLog.isWanted()
        ? List.of()
        : List.of(jobs.note(job, leaves));
  }

  /**
   * Stores the final state of a job in a page, and sees to it that no record of its own is left: a
   * node that reached the store and not this leader may have stored the job again, and the copy
   * would bring it back to life. Once the final state is there nobody creates another.
   */
  private void endPaged(Job job, Supplier<List<JobPages.Edit>> edits, Runnable onStored) {
    boolean copy = twice.contains(job);
    commit.accept(
        Mutation.editing(
            endPriority(job),
            copy ? List.of(finalState(job), noOwnRecord(job)) : List.of(finalState(job)),
            edits.get(),
            copy ? List.of() : List.of(RecordKeys.JOB + job.spec.id()),
            () -> {
              twice.remove(job);
              onStored.run();
            },
            () -> listener.onStoredTwice(job, () -> endPaged(job, edits, onStored))));
  }

  /** A final state that follows from another one is known without its record, which can wait. */
  private static Priority endPriority(Job job) {
    return job.cancelledByDependency ? Priority.TIDY : Priority.END;
  }

  private static Write finalState(Job job) {
    return new Write(RecordKeys.END + job.spec.id(), () -> RecordWire.end(job.state()));
  }

  private static Write noOwnRecord(Job job) {
    return new Write(RecordKeys.JOB + job.spec.id(), () -> null);
  }

  private void endStored(Job job) {
    boolean first = !job.finalStateStored;
    job.finalStateStored = true;
    chunkings.remove(job);
    Map<Integer, Chunk> of = chunks.remove(job);
    if (of != null) {
      of.values().forEach(chunk -> chunk.waiting.forEach(a -> a.mayBeForgotten = true));
    }
    if (first) {
      listener.onEndStored(job);
    }
  }
}
