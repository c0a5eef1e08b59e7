package io.pineladder.failover;

import io.pineladder.wire.RecordWire.Placement;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;

/**
 * The highest attempt number of each task that has several stored placements. First all placements
 * are passed to {@link #add}, then again to {@link #addRepeated}: a task with a single placement,
 * as almost all have, takes one bit.
 */
final class HighestAttempts {
  /** The tasks of a job that have a placement, and the highest attempts of the repeated ones. */
  private static final class JobTasks {
    final BitSet placed = new BitSet();
    final Map<Integer, Long> highestOfRepeated = new HashMap<>();
  }

  private final Map<String, JobTasks> byJob = new HashMap<>();
  private boolean hasRepeatedTasks;

  /** Notes that the task has a placement. */
  void add(Placement placement) {
    JobTasks tasks = byJob.computeIfAbsent(placement.job(), job -> new JobTasks());
    if (tasks.placed.get(placement.task())) {
      tasks.highestOfRepeated.put(placement.task(), placement.attempt());
      hasRepeatedTasks = true;
    }
    tasks.placed.set(placement.task());
  }

  /** Whether any task has several placements. */
  boolean hasRepeatedTasks() {
    return hasRepeatedTasks;
  }

  /** Takes the attempt number into account if its task has several placements. */
  void addRepeated(Placement placement) {
    byJob
        .get(placement.job())
        .highestOfRepeated
        .computeIfPresent(
            placement.task(), (task, highest) -> Math.max(highest, placement.attempt()));
  }

  /** Whether no other placement of the task has a higher attempt number. */
  boolean isHighest(Placement placement) {
    JobTasks tasks = byJob.get(placement.job());
    return tasks.highestOfRepeated.getOrDefault(placement.task(), placement.attempt())
        == placement.attempt();
  }
}
