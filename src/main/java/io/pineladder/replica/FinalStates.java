package io.pineladder.replica;

import com.fasterxml.jackson.databind.JsonNode;
import io.pineladder.model.Job;
import io.pineladder.wire.MalformedMessageException;
import io.pineladder.wire.RecordWire;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The final states of a replica. A final state never changes and is valid in every generation, so
 * one that the store has lost is retained here.
 */
final class FinalStates {
  private static final Logger log = LoggerFactory.getLogger(FinalStates.class);

  /** Bounds the memory on the smallest machine; some 100 bytes each. */
  private static final int MAX_FINAL_STATES = 100_000;

  /** Those with a key of their own in the store, by job id. */
  private final TreeMap<String, Job.State> keyed = new TreeMap<>();

  /** Those of earlier generations, which share values in the store. */
  private final Map<String, Job.State> archived = new HashMap<>();

  /** A job's final state; null when none is known. */
  Job.State get(String jobId) {
    Job.State own = keyed.get(jobId);
    return own != null ? own : archived.get(jobId);
  }

  int count() {
    return keyed.size() + archived.size();
  }

  /** Adds the value of a job's own key; without effect beyond the bound. */
  void putKeyed(String jobId, JsonNode value) {
    if (get(jobId) != null || count() >= MAX_FINAL_STATES) {
      return;
    }
    try {
      keyed.put(jobId, RecordWire.parseFinalState(value));
    } catch (MalformedMessageException e) {
      log.warn("Unreadable final state ignored: job={}", jobId);
    }
  }

  /** Adds a value with the final states of many jobs. */
  void putArchived(String key, JsonNode value) {
    try {
      Job.State state = RecordWire.parseFinalState(value);
      RecordWire.parseFinalStates(value).forEach(jobId -> archived.putIfAbsent(jobId, state));
    } catch (MalformedMessageException e) {
      log.warn("Unreadable final states ignored: key={} detail=\"{}\"", key, e.getMessage());
    }
  }

  void putAllArchived(Map<String, Job.State> states) {
    archived.putAll(states);
  }

  /** Another generation is in force, in which all of these are archived. */
  void archiveAll() {
    archived.putAll(keyed);
    keyed.clear();
  }

  /**
   * Jobs whose final state has a key of its own, in the order of the keys.
   *
   * @param after excludes this job and all before it; null for none
   * @param last excludes all jobs after it; null for none
   */
  List<String> keyedBetween(String after, String last) {
    var rest = after == null ? keyed : keyed.tailMap(after, false);
    return new ArrayList<>((last == null ? rest : rest.headMap(last, true)).keySet());
  }

  /** A copy of all, by job id in order. */
  Map<String, Job.State> all() {
    Map<String, Job.State> all = new TreeMap<>(archived);
    all.putAll(keyed);
    return all;
  }

  /** Those that the other lacks, by job id in order. */
  Map<String, Job.State> missingFrom(FinalStates other) {
    Map<String, Job.State> missing = all();
    missing.keySet().removeIf(jobId -> other.get(jobId) != null);
    return missing;
  }
}
