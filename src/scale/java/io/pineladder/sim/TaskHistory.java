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
 * What all hollow workers have recorded, brought into the order of the machine's steady clock and
 * given to the rules. Events come in batches from several processes, each with the time up to which
 * it holds everything; so an event waits until every process has handed over what came before it.
 */
final class TaskHistory {
  private static final long MOST_MICROS = 600_000_000L;

  /** What a worker recorded, or with an action what a user was told. */
  private record Event(
      long nanos,
      HollowTasks.Kind kind,
      String host,
      String piece,
      long attempt,
      Runnable action) {}

  private final SafetyRules rules;
  private final Map<String, Worker> workers;
  private final PriorityQueue<Event> waiting =
      new PriorityQueue<>(Comparator.comparingLong(Event::nanos));

  /** When each job was submitted first, by the steady clock. */
  private final Map<String, Long> submitted = new HashMap<>();

  /** Tasks of gangs that wait for the others, by job and attempt, with where they are. */
  private final Map<String, Map<String, String>> gathering = new HashMap<>();

  /** Gang tasks that may run now, by process. */
  private final Map<String, ArrayNode> released = new HashMap<>();

  private final Map<String, String> processOf = new HashMap<>();
  private final Map<String, Histogram> waits = new TreeMap<>();
  private final Set<String> running = new HashSet<>();

  /** Up to which time each process has handed over everything. */
  private final Map<String, Long> handedOver = new HashMap<>();

  private long applied;
  private long starts;
  private long measuredStarts;
  private long measuredTasksRunning;
  private long measuredSamples;
  private boolean measuring;

  /**
   * An empty history.
   *
   * @param processes all processes of hollow workers
   */
  TaskHistory(SafetyRules rules, Map<String, Worker> workers, List<String> processes) {
    this.rules = rules;
    this.workers = workers;
    processes.forEach(process -> handedOver.put(process, 0L));
  }

  void submitted(String job) {
    submitted.putIfAbsent(job, System.nanoTime());
  }

  /** The worker runs in that process. */
  void runsIn(String host, String process) {
    processOf.put(host, process);
  }

  void measure(boolean on) {
    measuring = on;
  }

  /** Takes in a batch of a process; the answer to it. */
  ObjectNode take(String process, JsonNode batch) {
    handedOver.put(process, batch.get("until").asLong());
    for (JsonNode each : batch.get("events")) {
      Event event =
          new Event(
              each.get(0).asLong(),
              HollowTasks.Kind.valueOf(each.get(1).asText()),
              each.get(2).asText(),
              each.get(3).asText(),
              each.get(4).asLong(),
              null);
      if (event.nanos < applied) {
        throw new AssertionError("events came after later ones of their process");
      }
      gather(event);
      waiting.add(event);
    }
    ObjectNode out = Json.object();
    ObjectNode jobs = out.putObject("jobs");
    for (JsonNode id : batch.get("jobs")) {
      SafetyRules.TrackedJob job = rules.jobs.get(id.asText());
      if (job == null) {
        throw new AssertionError("a task of " + id + " was started, which nobody submitted");
      }
      jobs.putObject(job.id)
          .put("gang", job.spec.get("shape").asText().equals("group"))
          .put("run_ms", rules.runMillis(new Task(job.id + "/0", 0)));
    }
    ArrayNode run = released.remove(process);
    out.set("run", run == null ? Json.array() : run);
    return out;
  }

  /** Something happens now that is to be seen in the same order. */
  void now(Runnable action) {
    waiting.add(new Event(System.nanoTime(), null, "", "", 0, action));
  }

  /**
   * A gang runs once all of one attempt are there: its workers are told with their next answers.
   */
  private void gather(Event event) {
    String gang = event.piece.substring(0, event.piece.indexOf('/')) + "#" + event.attempt;
    if (event.kind == HollowTasks.Kind.LEFT) {
      Map<String, String> of = gathering.get(gang);
      if (of != null) {
        of.remove(event.piece);
      }
    } else if (event.kind == HollowTasks.Kind.STARTED) {
      SafetyRules.TrackedJob job = rules.jobs.get(event.piece.substring(0, event.piece.indexOf('/')));
      if (!job.spec.get("shape").asText().equals("group")) {
        return;
      }
      Map<String, String> of = gathering.computeIfAbsent(gang, g -> new HashMap<>());
      of.put(event.piece, event.host);
      if (of.size() == job.taskCount()) {
        of.forEach(
            (piece, host) ->
                released
                    .computeIfAbsent(processOf.get(host), p -> Json.array())
                    .addArray()
                    .add(host)
                    .add(piece + "#" + event.attempt));
        gathering.remove(gang);
      }
    }
  }

  /** Gives the rules what has its place in the order by now. */
  void apply() {
    long until = handedOver.values().stream().mapToLong(Long::longValue).min().orElse(0);
    while (!waiting.isEmpty() && waiting.peek().nanos < until) {
      Event event = waiting.poll();
      applied = event.nanos;
      if (event.action != null) {
        event.action.run();
      } else {
        apply(event);
      }
    }
  }

  private void apply(Event event) {
    Task task = new Task(event.piece, event.attempt);
    Worker on = workers.get(event.host);
    switch (event.kind) {
      case COMMANDED -> rules.onStartCommand(task, on);
      case STARTED -> {
        rules.onStarted(task, on);
        running.add(event.piece);
        starts++;
        if (measuring) {
          measuredStarts++;
          SafetyRules.TrackedJob job = rules.jobs.get(task.jobId());
          long micros = (event.nanos - submitted.get(job.id)) / 1_000;
          waits
              .computeIfAbsent(
                  job.spec.get("jobclass").asText(), c -> new Histogram(MOST_MICROS, 3))
              .recordValue(Math.min(MOST_MICROS, micros));
        }
      }
      case LEFT -> {
        rules.onLeft(task, on);
        running.remove(event.piece);
      }
      case COMPLETED -> rules.onCompleted(task);
      case GATHERING -> {}
    }
  }

  /** Counts the tasks that run, once a second. */
  void sample() {
    if (measuring) {
      measuredTasksRunning += running.size();
      measuredSamples++;
    }
  }

  int running() {
    return running.size();
  }

  long starts() {
    return starts;
  }

  long measuredStarts() {
    return measuredStarts;
  }

  double meanRunning() {
    return measuredSamples == 0 ? 0 : (double) measuredTasksRunning / measuredSamples;
  }

  /** From the submission to the start of each task, in microseconds, by class of job. */
  Map<String, Histogram> waits() {
    return waits;
  }
}
