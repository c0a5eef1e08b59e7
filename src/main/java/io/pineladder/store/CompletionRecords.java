package io.pineladder.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Attempt;
import io.pineladder.model.ClusterVersion;
import io.pineladder.model.Job;
import io.pineladder.net.EventLoop;
import io.pineladder.store.Mutation.Priority;
import io.pineladder.wire.Json;
import io.pineladder.wire.RecordWire;
import java.time.Duration;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The records of completed tasks. A job's tasks are divided into chunks of equal size, one entry
 * per chunk. The size is such that every pattern of completions within a chunk fits into its entry.
 */
final class CompletionRecords {
  /** Upper bound of the encoded size of one range of completed tasks, with its commas. */
  private static final int MAX_RANGE_BYTES = 16;

  private static final Duration FLUSH_INTERVAL = Duration.ofMillis(300);

  /** How a job's tasks are divided, and whether its entries store the chunk size. */
  private record Chunking(int tasksPerChunk, boolean storesChunkTasks) {}

  /** Consecutive tasks of a job whose completions are stored in one entry. */
  private static final class Chunk {
    final Job job;
    final int number;

    /** Attempts whose completion is not known to be committed. */
    final List<Attempt> unconfirmedAttempts = new ArrayList<>();

    /** The unconfirmed attempts that the last rendered entry includes. */
    List<Attempt> renderedAttempts = List.of();

    Chunk(Job job, int number) {
      this.job = job;
      this.number = number;
    }
  }

  private final ClusterVersion clusterVersion;

  /** Chunk size of entries that do not store it. */
  private final int unversionedChunkTasks;

  private final int chunkTasks;
  private final Map<Job, Chunking> chunkings = new HashMap<>();
  private final Map<Job, Map<Integer, Chunk>> chunks = new HashMap<>();
  private final RecordPages<Chunk, byte[]> pages;

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
                chunk -> Json.bytes(encode(chunk)),
                (chunk, encoded) -> Json.decode(encoded),
                CompletionRecords::onStored),
            valueBytes,
            eventLoop,
            commit);
  }

  /** The chunk size with which no pattern of completions exceeds half a page. */
  private static int chunkTasks(int valueBytes) {
    return Math.max(16, RecordPages.capacity(valueBytes) / 2 / MAX_RANGE_BYTES - 8);
  }

  /** Stores that the attempt's task is complete. */
  void store(Job job, Attempt attempt) {
    Chunk chunk = chunk(job, attempt.task / chunkingOf(job).tasksPerChunk);
    chunk.unconfirmedAttempts.add(attempt);
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
    chunk.renderedAttempts = List.copyOf(chunk.unconfirmedAttempts);
    BitSet done = chunk.job.completedTasks;
    if (!chunk.job.unconfirmedCompletedTasks.isEmpty()) {
      done = (BitSet) done.clone();
      done.andNot(chunk.job.unconfirmedCompletedTasks);
    }
    Chunking chunking = chunkingOf(chunk.job);
    String id = chunk.job.spec.id();
    return chunking.storesChunkTasks
        ? RecordWire.completionsWithChunkSize(id, done, chunk.number, chunking.tasksPerChunk)
        : RecordWire.completions(id, done, chunk.number, chunking.tasksPerChunk);
  }

  private static void onStored(Chunk chunk) {
    chunk.renderedAttempts.forEach(attempt -> attempt.endProcessed = true);
    chunk.unconfirmedAttempts.removeAll(chunk.renderedAttempts);
    chunk.renderedAttempts = List.of();
  }

  /** Drops the completions of a job whose final state is stored. */
  void discard(Job job) {
    chunkings.remove(job);
    Map<Integer, Chunk> ofJob = chunks.remove(job);
    if (ofJob != null) {
      ofJob
          .values()
          .forEach(
              chunk -> chunk.unconfirmedAttempts.forEach(attempt -> attempt.endProcessed = true));
    }
  }

  /** Drops all entries. */
  void clear() {
    chunkings.clear();
    chunks.clear();
    pages.clear();
  }

  /** Registers a page that exists at the start of a term. */
  void restorePage(String page) {
    pages.restorePage(page);
  }

  /**
   * Restores an entry read at the start of a term, after the completions of all entries were added
   * to the job. Of several copies of a chunk's entry only the newest, which is complete, has to be
   * retained. If the chunk size differs from that of the job's first restored entry, all chunks of
   * the job are stored again with the chunk size of that entry.
   */
  void restore(String page, Job job, RecordWire.StoredCompletions entry) {
    Chunking stored =
        entry.chunkTasks() == 0
            ? new Chunking(unversionedChunkTasks, false)
            : new Chunking(entry.chunkTasks(), true);
    Chunking chunking = chunkings.computeIfAbsent(job, j -> stored);
    if (!chunking.equals(stored)) {
      int last = job.spec.tasks() / chunking.tasksPerChunk;
      for (int number = 0; number <= last; number++) {
        pages.store(chunk(job, number));
      }
      return;
    }
    Chunk chunk = chunk(job, entry.chunk());
    JsonNode all = encode(chunk);
    if (entry.json().equals(all)) {
      pages.restore(page, chunk, Json.bytes(all));
    }
  }

  /** Writes a page again from memory, because its stored value cannot be read. */
  void rewritePage(String page) {
    pages.rewritePage(page);
  }

  /** See {@link RecordPages#evacuateOversizedPage}. */
  boolean evacuateOversizedPage() {
    return pages.evacuateOversizedPage();
  }
}
