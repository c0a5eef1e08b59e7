package io.pineladder.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import io.pineladder.wire.Json;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Merges the task events of all hollow workers in the order of the machine's monotonic clock and
 * checks them against the safety rules. Each process sends its events in batches; a batch states
 * the time up to which the events of its process are complete. An event is applied once all
 * processes have sent all earlier events.
 */
final class TaskHistory {
  private static final long MAX_WAIT_MICROS = 600_000_000L;

  /** A task event recorded by a worker or, if {@code action} is set, a response to a user. */
  private record Event(
      long nanos,
      HollowTaskRecorder.EventKind kind,
      String host,
      String taskId,
      long attempt,
      Runnable action) {}

  private final SafetyRules rules;
  private final Map<String, Worker> workers;
  private final PriorityQueue<Event> pendingEvents =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos));

  /** Time of the first submission of each job, on the monotonic clock. */
  private final Map<String, Long> submittedNanos = new HashMap<>();

  /**
   * The ready tasks of each incomplete gang, with their workers. The outer key is {@code
   * job#attempt}.
   */
  private final Map<String, Map<String, String>> readyGangTasks = new HashMap<>();

  /** Tasks of gangs that are complete, by the process to be notified. */
  private final Map<String, ArrayNode> releasedGangTasks = new HashMap<>();

  private final Map<String, String> processByWorker = new HashMap<>();
  private final Map<String, Histogram> startDelays = new TreeMap<>();
  private final Set<String> runningTasks = new HashSet<>();

  /** The time up to which the events of each process are complete. */
  private final Map<String, Long> completeUntilNanos = new HashMap<>();

  private long lastAppliedNanos;
  private long startCount;
  private long measuredStartCount;
  private long sampledRunningTasks;
  private long sampleCount;
  private boolean measuring;

  /**
   * Creates an empty history.
   *
   * @param processes the addresses of all hollow worker processes
   */
  TaskHistory(SafetyRules rules, Map<String, Worker> workers, List<String> processes) {
    this.rules = rules;
    this.workers = workers;
    processes.forEach(process -> completeUntilNanos.put(process, 0L));
  }

  void recordSubmission(String job) {
    submittedNanos.putIfAbsent(job, System.nanoTime());
  }

  /** Records the process that runs a worker. */
  void assignProcess(String host, String process) {
    processByWorker.put(host, process);
  }

  void setMeasuring(boolean enabled) {
    measuring = enabled;
  }

  /** Adds a batch of events from a process; returns the response to the process. */
  ObjectNode addBatch(String process, JsonNode batch) {
    completeUntilNanos.put(process, batch.get("until").asLong());
    for (JsonNode each : batch.get("events")) {
      Event event =
          new Event(
              each.get(0).asLong(),
              HollowTaskRecorder.EventKind.valueOf(each.get(1).asText()),
              each.get(2).asText(),
              each.get(3).asText(),
              each.get(4).asLong(),
              null);
      if (event.nanos < lastAppliedNanos) {
        throw new AssertionError(
            "events of process "
                + process
                + " arrived out of order: got one at "
                + event.nanos
                + " ns after one at "
                + lastAppliedNanos
                + " ns was applied");
      }
      updateGang(event);
      pendingEvents.add(event);
    }
    ObjectNode out = Json.object();
    ObjectNode jobs = out.putObject("jobs");
    for (JsonNode id : batch.get("jobs")) {
      SafetyRules.TrackedJob job = rules.jobs.get(id.asText());
      if (job == null) {
        throw new AssertionError("task of unknown job " + id + " was started");
      }
      jobs.putObject(job.id)
          .put("gang", job.spec.get("shape").asText().equals("group"))
          .put("run_ms", rules.runMillis(new Task(job.id + "/0", 0)));
    }
    ArrayNode run = releasedGangTasks.remove(process);
    out.set("run", run == null ? Json.array() : run);
    return out;
  }

  /** Adds an action that is run in order with the task events, at the current time. */
  void recordAction(Runnable action) {
    pendingEvents.add(new Event(System.nanoTime(), null, "", "", 0, action));
  }

  /**
   * Releases a gang once all tasks of an attempt have started. Its workers are notified in the
   * responses to their next batches.
   */
  private void updateGang(Event event) {
    String gang = event.taskId.substring(0, event.taskId.indexOf('/')) + "#" + event.attempt;
    if (event.kind == HollowTaskRecorder.EventKind.LEFT) {
      Map<String, String> ready = readyGangTasks.get(gang);
      if (ready != null) {
        ready.remove(event.taskId);
      }
    } else if (event.kind == HollowTaskRecorder.EventKind.STARTED) {
      SafetyRules.TrackedJob job =
          rules.jobs.get(event.taskId.substring(0, event.taskId.indexOf('/')));
      if (!job.spec.get("shape").asText().equals("group")) {
        return;
      }
      Map<String, String> ready = readyGangTasks.computeIfAbsent(gang, g -> new HashMap<>());
      ready.put(event.taskId, event.host);
      if (ready.size() == job.taskCount()) {
        ready.forEach(
            (taskId, host) ->
                releasedGangTasks
                    .computeIfAbsent(processByWorker.get(host), p -> Json.array())
                    .addArray()
                    .add(host)
                    .add(taskId + "#" + event.attempt));
        readyGangTasks.remove(gang);
      }
    }
  }

  /**
   * Applies, in order, all events up to the time until which the events of every process are
   * complete.
   */
  void applyCompleteEvents() {
    long until = completeUntilNanos.values().stream().mapToLong(Long::longValue).min().orElse(0);
    while (!pendingEvents.isEmpty() && pendingEvents.peek().nanos < until) {
      Event event = pendingEvents.poll();
      lastAppliedNanos = event.nanos;
      if (event.action != null) {
        event.action.run();
      } else {
        applyEvent(event);
      }
    }
  }

  private void applyEvent(Event event) {
    Task task = new Task(event.taskId, event.attempt);
    Worker worker = workers.get(event.host);
    switch (event.kind) {
      case COMMANDED -> rules.onStartCommand(task, worker);
      case STARTED -> {
        rules.onStarted(task, worker);
        runningTasks.add(event.taskId);
        startCount++;
        if (measuring) {
          measuredStartCount++;
          SafetyRules.TrackedJob job = rules.jobs.get(task.jobId());
          long micros = (event.nanos - submittedNanos.get(job.id)) / 1_000;
          startDelays
              .computeIfAbsent(
                  job.spec.get("jobclass").asText(), c -> new Histogram(MAX_WAIT_MICROS, 3))
              .recordValue(Math.min(MAX_WAIT_MICROS, micros));
        }
      }
      case LEFT -> {
        rules.onLeft(task, worker);
        runningTasks.remove(event.taskId);
      }
      case COMPLETED -> rules.onCompleted(task);
      case GATHERING -> {}
    }
  }

  /** Samples the number of running tasks; called once per second. */
  void sampleRunningTasks() {
    if (measuring) {
      sampledRunningTasks += runningTasks.size();
      sampleCount++;
    }
  }

  int runningTaskCount() {
    return runningTasks.size();
  }

  long startCount() {
    return startCount;
  }

  long measuredStartCount() {
    return measuredStartCount;
  }

  double meanRunningTasks() {
    return sampleCount == 0 ? 0 : (double) sampledRunningTasks / sampleCount;
  }

  /** Returns the delays from job submission to task start in microseconds, by job class. */
  Map<String, Histogram> startDelays() {
    return startDelays;
  }
}
