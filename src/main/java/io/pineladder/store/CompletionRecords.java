package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Job;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The records of completed tasks. A job's tasks are divided into chunks, an entry each, so that the
 * completions of a chunk fit into one entry whatever their pattern; all entries of a job are
 * divided alike.
 */
final class CompletionRecords {
  /** The longest range of completions in JSON, with its commas. */
  private static final int MAX_RANGE_BYTES = 16;

  private static final Duration FLUSH_INTERVAL = Duration.ofMillis(300);

  /** How many tasks a chunk of a job has, and whether its entries say so. */
  private record Chunking(int tasks, boolean explicit) {}

  /** A number of consecutive tasks of a job whose completions are stored in one entry. */
  private static final class Chunk {
    final Job job;
    final int number;

    /** Attempts whose completion is not known to be stored. */
    final List<Attempt> waiting = new ArrayList<>();

    /** Those of them that the value rendered last contains. */
    List<Attempt> beingStored = List.of();

    Chunk(Job job, int number) {
      this.job = job;
      this.number = number;
    }
  }

  private final ClusterVersion clusterVersion;

  /** Tasks of a chunk in entries that do not say it. */
  private final int unversionedChunkTasks;

  private final int chunkTasks;
  private final Map<Job, Chunking> chunkings = new HashMap<>();
  private final Map<Job, Map<Integer, Chunk>> chunks = new HashMap<>();
  private final RecordPages<Chunk> pages;

  CompletionRecords(
      int valueBytes,
      int unversionedValueBytes,
      ClusterVersion clusterVersion,
      EventLoop eventLoop,
      Consumer<Mutation> commit) {
    this.clusterVersion = clusterVersion;
    this.unversionedChunkTasks = chunkTasks(unversionedValueBytes);
    this.chunkTasks = chunkTasks(valueBytes);
    this.pages =
        new RecordPages<>(
            new RecordPages.EntryKind<>(
                RecordKeys.COMPLETIONS,
                Priority.COMPLETION,
                FLUSH_INTERVAL,
                chunk -> !chunk.job.finalStatePending,
                this::encode,
                CompletionRecords::onStored),
            valueBytes,
            eventLoop,
            commit);
  }

  /** Tasks of a chunk, such that no pattern of completions outgrows half a page. */
  private static int chunkTasks(int valueBytes) {
    return Math.max(16, RecordPages.capacity(valueBytes) / 2 / MAX_RANGE_BYTES - 8);
  }

  /** Stores that a task of the job is complete, as the attempt reported. */
  void store(Job job, Attempt attempt) {
    Chunk chunk = chunk(job, attempt.task / chunkingOf(job).tasks);
    chunk.waiting.add(attempt);
    if (!job.finalStatePending) {
      pages.store(chunk);
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

  private JsonNode encode(Chunk chunk) {
    chunk.beingStored = List.copyOf(chunk.waiting);
    BitSet done = chunk.job.completedTasks;
    if (!chunk.job.unconfirmedCompletedTasks.isEmpty()) {
      done = (BitSet) done.clone();
      done.andNot(chunk.job.unconfirmedCompletedTasks);
    }
    Chunking chunking = chunkingOf(chunk.job);
    String id = chunk.job.spec.id();
    return chunking.explicit
        ? RecordWire.completionsWithChunkSize(id, done, chunk.number, chunking.tasks)
        : RecordWire.completions(id, done, chunk.number, chunking.tasks);
  }

  private static void onStored(Chunk chunk) {
    chunk.beingStored.forEach(attempt -> attempt.endProcessed = true);
    chunk.waiting.removeAll(chunk.beingStored);
    chunk.beingStored = List.of();
  }

  /** The job's final state is stored, so its completions are not needed any more. */
  void discard(Job job) {
    chunkings.remove(job);
    Map<Integer, Chunk> ofJob = chunks.remove(job);
    if (ofJob != null) {
      ofJob
          .values()
          .forEach(chunk -> chunk.waiting.forEach(attempt -> attempt.endProcessed = true));
    }
  }

  /** Takes over a page that exists at the start of a term. */
  void restorePage(String page) {
    pages.restorePage(page);
  }

  /**
   * Takes over an entry read at the start of a term, once the job holds the completions of all
   * entries. Of a chunk's copies the newest holds everything, and only that one must not be lost.
   * Entries that are divided otherwise than the job's first one are stored anew as that one is.
   */
  void restore(String page, Job job, RecordWire.StoredCompletions entry) {
    Chunking stored =
        entry.chunkTasks() == 0
            ? new Chunking(unversionedChunkTasks, false)
            : new Chunking(entry.chunkTasks(), true);
    Chunking chunking = chunkings.computeIfAbsent(job, j -> stored);
    if (!chunking.equals(stored)) {
      int last = job.spec.tasks() / chunking.tasks;
      for (int number = 0; number <= last; number++) {
        pages.store(chunk(job, number));
      }
      return;
    }
    Chunk chunk = chunk(job, entry.chunk());
    JsonNode all = encode(chunk);
    if (entry.json().equals(all)) {
      pages.restore(page, chunk, all);
    }
  }

  /** Stores a page anew, since its value cannot be read. */
  void rewritePage(String page) {
    pages.rewritePage(page);
  }

  /** Begins to evacuate an oversized page; false when there is none. */
  boolean evacuateOversizedPage() {
    return pages.evacuateOversizedPage();
  }
}
