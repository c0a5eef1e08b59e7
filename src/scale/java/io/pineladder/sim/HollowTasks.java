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
 * What becomes of the tasks on one process's hollow workers, recorded with the time of the
 * machine's steady clock, which all processes share, for the process that checks the rules.
 */
final class HollowTasks implements TaskWatcher {
  /** What happened to a task. */
  enum Kind {
    COMMANDED,
    STARTED,
    LEFT,
    GATHERING,
    COMPLETED
  }

  /** What a worker reads in a job's description. */
  private record Description(boolean gang, long runMillis) {}

  private final Map<String, Description> descriptions = new HashMap<>();
  private final Set<String> wanted = new LinkedHashSet<>();
  private List<JsonNode> events = new ArrayList<>();

  private Description of(Task task) {
    Description found = descriptions.get(task.jobId());
    if (found == null) {
      throw new IllegalStateException("the description of " + task.jobId() + " has not come in time");
    }
    return found;
  }

  /** What has happened since this was last asked, and the jobs whose descriptions are wanted. */
  ObjectNode take() {
    // All that comes later than this is in later batches.
    ObjectNode out = Json.object().put("until", System.nanoTime());
    ArrayNode list = out.putArray("events");
    events.forEach(list::add);
    events = new ArrayList<>();
    ArrayNode jobs = out.putArray("jobs");
    wanted.forEach(jobs::add);
    return out;
  }

  boolean isEmpty() {
    return events.isEmpty() && wanted.isEmpty();
  }

  /** Descriptions have come. */
  void learn(JsonNode jobs) {
    jobs.properties()
        .forEach(
            each -> {
              wanted.remove(each.getKey());
              descriptions.put(
                  each.getKey(),
                  new Description(
                      each.getValue().get("gang").asBoolean(),
                      each.getValue().get("run_ms").asLong()));
            });
  }

  private void record(Kind kind, Task task, Worker on) {
    events.add(
        Json.array()
            .add(System.nanoTime())
            .add(kind.name())
            .add(on == null ? "" : on.name)
            .add(task.id)
            .add(task.attempt));
  }

  @Override
  public boolean alwaysFails(Task task) {
    return false;
  }

  @Override
  public boolean isGang(Task task) {
    return of(task).gang;
  }

  @Override
  public long runMillis(Task task) {
    return of(task).runMillis;
  }

  @Override
  public void onStartCommand(Task task, Worker on) {
    if (!descriptions.containsKey(task.jobId())) {
      wanted.add(task.jobId());
    }
    record(Kind.COMMANDED, task, on);
  }

  @Override
  public void onStarted(Task task, Worker on) {
    record(Kind.STARTED, task, on);
  }

  @Override
  public void onLeft(Task task, Worker from) {
    record(Kind.LEFT, task, from);
  }

  @Override
  public void onGangTaskReady(Task task) {
    record(Kind.GATHERING, task, null);
  }

  @Override
  public void onCompleted(Task task) {
    record(Kind.COMPLETED, task, null);
  }
}
