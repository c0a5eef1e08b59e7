package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.Job;
import io.pineladder.model.Machine;
import io.pineladder.net.Timeline;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.store.Mutation.Write;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Keeps the durable records in step with the leader's memory. A job has a record of its own, which
 * any node can find and create; placements, completions and cached images are packed into pages.
 */
public final class Records {
  /** The longest range of completions in JSON, with its commas. */
  private static final int RANGE_BYTES = 16;

  /** Images remembered of a machine, the most recently used ones. */
  private static final int IMAGES_KEPT = 8;

  /** Placements gather this long; a start waits for its own to be stored. */
  private static final Duration PLACE_PACE = Duration.ofMillis(40);

  private static final Duration DONE_PACE = Duration.ofMillis(300);
  private static final Duration IMAGES_PACE = Duration.ofSeconds(2);

  /** What follows when records are stored. */
  public interface Listener {
    void onPlacementStored(Attempt attempt);

    /** The job's final state is stored. */
    void onEndStored(Job job);

    /** The job's own record is gone; only its final state is left. */
    void onRemoved(Job job);
  }

  private final Consumer<Mutation> commit;
  private final Listener listener;
  private final int chunkTasks;
  private final Pages<Attempt> placements;
  private final Pages<Chunk> completions;
  private final Pages<Machine> images;
  private final Map<Job, Map<Integer, Chunk>> chunks = new HashMap<>();

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

  public Records(
      int valueBytes, Timeline time, Consumer<Mutation> commit, Listener listener) {
    this.commit = commit;
    this.listener = listener;
    this.chunkTasks = chunkTasks(valueBytes);
    this.placements =
        new Pages<>(
            Keys.PLACED,
            Priority.PLACE,
            PLACE_PACE,
            valueBytes,
            time,
            commit,
            Attempt::holdsRoom,
            RecordWire::placement,
            this::placementStored);
    this.completions =
        new Pages<>(
            Keys.DONE,
            Priority.COMPLETE,
            DONE_PACE,
            valueBytes,
            time,
            commit,
            chunk -> !chunk.job.ending,
            this::encode,
            this::completionsStored);
    this.images =
        new Pages<>(
            Keys.IMAGES,
            Priority.TIDY,
            IMAGES_PACE,
            valueBytes,
            time,
            commit,
            machine -> machine.state() != Machine.State.GONE,
            Records::encodeImages,
            machine -> {});
  }

  /** Tasks of a chunk, such that no pattern of completions outgrows half a page. */
  static int chunkTasks(int valueBytes) {
    return Math.max(16, Pages.capacity(valueBytes) / 2 / RANGE_BYTES - 8);
  }

  // ---- placements

  /** The attempt is decided on; its start may go out once it is stored. */
  public void placementDue(Attempt attempt) {
    placements.due(attempt);
  }

  private void placementStored(Attempt attempt) {
    if (attempt.state() == Attempt.State.STORING) {
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
    Chunk chunk = chunk(job, attempt.task / chunkTasks);
    chunk.waiting.add(attempt);
    if (!job.ending) {
      completions.due(chunk);
    }
  }

  private Chunk chunk(Job job, int number) {
    return chunks
        .computeIfAbsent(job, j -> new HashMap<>())
        .computeIfAbsent(number, n -> new Chunk(job, n));
  }

  private JsonNode encode(Chunk chunk) {
    chunk.included = List.copyOf(chunk.waiting);
    BitSet done = chunk.job.done;
    return RecordWire.done(
        chunk.job.spec.id(), done, chunk.number, chunkTasks);
  }

  private void completionsStored(Chunk chunk) {
    chunk.included.forEach(a -> a.forgettable = true);
    chunk.waiting.removeAll(chunk.included);
    chunk.included = List.of();
  }

  public void knownCompletions(String page) {
    completions.knownPage(page);
  }

  /**
   * An entry read at the start of a term, once the job holds the completions of all entries. Of a
   * chunk's copies the newest holds everything, and only that one must not be lost.
   */
  public void knownDone(String page, Job job, RecordWire.StoredDone entry) {
    Chunk chunk = chunk(job, entry.chunk());
    JsonNode all = encode(chunk);
    if (entry.json().equals(all)) {
      completions.known(page, chunk, all);
    }
  }

  // ---- jobs

  private static JsonNode jobValue(Job job) {
    ObjectNode value = RecordWire.job(job.spec, job.acceptedAt, job.state());
    return job.atFault ? value.put("at_fault", true) : value;
  }

  /** The job was found to be at fault, or not to be: the next leader need not find out anew. */
  public void verdict(Job job) {
    commit.accept(
        Mutation.onlyIf(
            () -> !job.ending,
            Priority.TIDY,
            List.of(new Write(Keys.JOB + job.spec.id(), () -> jobValue(job))),
            () -> {}));
  }

  public Write newJob(Job job) {
    return new Write(Keys.JOB + job.spec.id(), () -> jobValue(job));
  }

  /** The job is over. While tasks of it may be somewhere its record stays, with the final state. */
  public void end(Job job) {
    job.ending = true;
    String key = Keys.JOB + job.spec.id();
    if (job.attempts.isEmpty()) {
      remove(job);
      return;
    }
    commit.accept(
        Mutation.of(
            Priority.END,
            List.of(new Write(key, () -> jobValue(job))),
            () -> {
              endStored(job);
              if (job.attempts.isEmpty()) {
                remove(job);
              }
            }));
  }

  /** Nothing of an ended job is anywhere any more: only its final state is kept. */
  public void remove(Job job) {
    if (job.removing) {
      return;
    }
    job.removing = true;
    commit.accept(
        Mutation.of(
            Priority.END,
            List.of(
                new Write(Keys.END + job.spec.id(), () -> RecordWire.end(job.state())),
                new Write(Keys.JOB + job.spec.id(), () -> null)),
            () -> {
              endStored(job);
              listener.onRemoved(job);
            }));
  }

  private void endStored(Job job) {
    boolean first = !job.endStored;
    job.endStored = true;
    Map<Integer, Chunk> of = chunks.remove(job);
    if (of != null) {
      of.values().forEach(chunk -> chunk.waiting.forEach(a -> a.forgettable = true));
    }
    if (first) {
      listener.onEndStored(job);
    }
  }
}
