package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import io.pineladder.wire.StoreWire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The final states in a replica. A final state never changes and is valid in every generation, so
 * it is retained here even if the store loses it.
 */
final class FinalStates {
  private static final Logger log = LoggerFactory.getLogger(FinalStates.class);

  /** Bounds the memory; a final state takes about 100 bytes. */
  private static final int MAX_FINAL_STATES = 100_000;

  /** Final states with a key of their own in the store, by job id. */
  private final TreeMap<String, Job.State> keyed = new TreeMap<>();

  /** Final states of earlier generations, stored with many in one value, by job id. */
  private final Map<String, Job.State> archived = new HashMap<>();

  /** A job's final state; null when none is known. */
  Job.State get(String jobId) {
    Job.State own = keyed.get(jobId);
    return own != null ? own : archived.get(jobId);
  }

  int count() {
    return keyed.size() + archived.size();
  }

  /** Adds a final state with a key of its own; ignored when the bound is reached. */
  void putKeyed(String jobId, StoreWire.Entry entry) {
    if (get(jobId) != null || count() >= MAX_FINAL_STATES) {
      return;
    }
    try {
      keyed.put(jobId, RecordWire.parseFinalState(entry.value()));
    } catch (MalformedMessageException e) {
      log.warn("Unreadable final state ignored: job={}", jobId);
    }
  }

  /** Adds all final states in an archive value. */
  void putArchived(StoreWire.Entry entry) {
    try {
      JsonNode value = entry.value();
      Job.State state = RecordWire.parseFinalState(value);
      RecordWire.parseFinalStates(value).forEach(jobId -> archived.putIfAbsent(jobId, state));
    } catch (MalformedMessageException e) {
      log.warn(
          "Unreadable final states ignored: key={} detail=\"{}\"", entry.key(), e.getMessage());
    }
  }

  void putAllArchived(Map<String, Job.State> states) {
    archived.putAll(states);
  }

  /** Moves all final states to the archive, as in the store when a new generation begins. */
  void archiveAll() {
    archived.putAll(keyed);
    keyed.clear();
  }

  /**
   * Jobs whose final state has a key of its own, in key order.
   *
   * @param after the exclusive lower bound; null for none
   * @param last the inclusive upper bound; null for none
   */
  List<String> keyedBetween(String after, String last) {
    var remaining = after == null ? keyed : keyed.tailMap(after, false);
    return new ArrayList<>((last == null ? remaining : remaining.headMap(last, true)).keySet());
  }

  /** A copy of all final states, ordered by job id. */
  Map<String, Job.State> toSortedMap() {
    Map<String, Job.State> all = new TreeMap<>(archived);
    all.putAll(keyed);
    return all;
  }

  /** The final states that {@code other} lacks, ordered by job id. */
  Map<String, Job.State> missingFrom(FinalStates other) {
    Map<String, Job.State> missing = toSortedMap();
    missing.keySet().removeIf(jobId -> other.get(jobId) != null);
    return missing;
  }
}
