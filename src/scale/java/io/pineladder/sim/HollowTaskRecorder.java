package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import io.pineladder.wire.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records task events on the hollow workers of one process for the process that checks the safety
 * rules. The timestamps are from the monotonic clock, which all processes of the machine share.
 */
final class HollowTaskRecorder implements TaskWatcher {
  /** Types of task events; their names are sent to the parent process. */
  enum EventKind {
    COMMANDED,
    STARTED,
    LEFT,
    GATHERING,
    COMPLETED
  }

  /** The properties of a job that a hollow worker needs. */
  private record JobDescription(boolean gang, long runMillis) {}

  private final Map<String, JobDescription> descriptions = new HashMap<>();
  private final Set<String> missingDescriptions = new LinkedHashSet<>();
  private List<JsonNode> events = new ArrayList<>();

  private JobDescription descriptionOf(Task task) {
    JobDescription found = descriptions.get(task.jobId());
    if (found == null) {
      throw new IllegalStateException(
          "no description of job " + task.jobId() + " received before its task started");
    }
    return found;
  }

  /** Removes and returns the recorded events, with the jobs whose descriptions are missing. */
  ObjectNode drainBatch() {
    // All later events are in later batches.
    ObjectNode out = Json.object().put("until", System.nanoTime());
    ArrayNode list = out.putArray("events");
    events.forEach(list::add);
    events = new ArrayList<>();
    ArrayNode jobs = out.putArray("jobs");
    missingDescriptions.forEach(jobs::add);
    return out;
  }

  boolean isEmpty() {
    return events.isEmpty() && missingDescriptions.isEmpty();
  }

  /** Adds job descriptions received from the parent process. */
  void addDescriptions(JsonNode jobs) {
    jobs.properties()
        .forEach(
            each -> {
              missingDescriptions.remove(each.getKey());
              descriptions.put(
                  each.getKey(),
                  new JobDescription(
                      each.getValue().get("gang").asBoolean(),
                      each.getValue().get("run_ms").asLong()));
            });
  }

  private void record(EventKind kind, Task task, Worker worker) {
    events.add(
        Json.array()
            .add(System.nanoTime())
            .add(kind.name())
            .add(worker == null ? "" : worker.name)
            .add(task.id)
            .add(task.attempt));
  }

  @Override
  public boolean alwaysFails(Task task) {
    return false;
  }

  @Override
  public boolean isGang(Task task) {
    return descriptionOf(task).gang;
  }

  @Override
  public long runMillis(Task task) {
    return descriptionOf(task).runMillis;
  }

  @Override
  public void onStartCommand(Task task, Worker worker) {
    if (!descriptions.containsKey(task.jobId())) {
      missingDescriptions.add(task.jobId());
    }
    record(EventKind.COMMANDED, task, worker);
  }

  @Override
  public void onStarted(Task task, Worker worker) {
    record(EventKind.STARTED, task, worker);
  }

  @Override
  public void onLeft(Task task, Worker worker) {
    record(EventKind.LEFT, task, worker);
  }

  @Override
  public void onGangTaskReady(Task task) {
    record(EventKind.GATHERING, task, null);
  }

  @Override
  public void onCompleted(Task task) {
    record(EventKind.COMPLETED, task, null);
  }
}
