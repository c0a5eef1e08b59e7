package io.pineladder.sim;

import io.pineladder.sim.FakeFleet.Task;
import io.pineladder.sim.FakeFleet.Worker;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Checks a soak run from outside, by what workers ran and users were told. A violation is recorded
 * and does not stop the run. Event thread only.
 */
final class SoakInvariants implements TaskWatcher {
  private static final int HISTORY_SIZE = 2_000;

  private final SimulatedWorld world;
  private final SafetyRules rules;
  private final Deque<String> history = new ArrayDeque<>();
  private final List<String> violations = new ArrayList<>();

  SoakInvariants(SimulatedWorld world, SafetyRules rules) {
    this.world = world;
    this.rules = rules;
  }

  /** Adds an event to the history that is printed with a violation. */
  void record(String event) {
    history.add(world.now() + " " + event);
    if (history.size() > HISTORY_SIZE) {
      history.poll();
    }
  }

  /** Runs checks that throw on a violation. */
  void check(Runnable checks) {
    try {
      checks.run();
    } catch (AssertionError e) {
      violate(e.getMessage());
    }
  }

  /** Records a violation. */
  void violate(String violation) {
    record("VIOLATION " + violation);
    violations.add(violation);
  }

  List<String> violations() {
    return violations;
  }

  List<String> history() {
    return List.copyOf(history);
  }

  /** Checks an answer about a job that was submitted. */
  void onAnswer(
      SafetyRules.TrackedJob job, SafetyRules.ReportedState before, int status, String state) {
    record("answer " + job.id + " " + status + " " + state);
    check(() -> rules.checkAnswer(job, before, status, state));
  }

  /** Checks an answer about a job that nobody has submitted. */
  void onAnswerAboutUnknownJob(String id, int status) {
    if (status == 200 || status == 201) {
      violate("invented: " + id + " was answered with " + status);
    }
  }

  /** A controller ended without having been killed. */
  void onControllerExited(int controller, int exitCode) {
    violate("node_restarts: controller " + controller + " ended with exit code " + exitCode);
  }

  /** The run is over. */
  void onEnd() {
    if (rules.starts == 0) {
      violate("nothing_ran: no task was started");
    }
    for (SafetyRules.TrackedJob job : rules.jobs.values()) {
      if (!job.accepted) {
        violate("refused: " + job.id + " was not accepted although the faults are over");
      } else if (!job.isFinished() && !job.cancelRequested && !isService(job)) {
        violate("unfinished: " + job.id + " completed " + job.completedTasks.size());
      }
    }
  }

  private static boolean isService(SafetyRules.TrackedJob job) {
    return job.spec.get("shape").asText().equals("service");
  }

  @Override
  public boolean alwaysFails(Task task) {
    return rules.alwaysFails(task);
  }

  @Override
  public boolean isGang(Task task) {
    return rules.isGang(task);
  }

  @Override
  public long runMillis(Task task) {
    return rules.runMillis(task);
  }

  @Override
  public void onStartCommand(Task task, Worker worker) {
    record("start " + task.id + "#" + task.attempt + " on " + worker.name);
    check(() -> rules.onStartCommand(task, worker));
  }

  @Override
  public void onStarted(Task task, Worker worker) {
    record("runs " + task.id + "#" + task.attempt + " on " + worker.name);
    check(() -> rules.onStarted(task, worker));
  }

  @Override
  public void onLeft(Task task, Worker worker) {
    record("left " + task.id + "#" + task.attempt + " on " + worker.name);
    check(() -> rules.onLeft(task, worker));
  }

  @Override
  public void onGangTaskReady(Task task) {
    check(() -> rules.onGangTaskReady(task));
  }

  @Override
  public void onCompleted(Task task) {
    record("completed " + task.id + "#" + task.attempt);
    check(() -> rules.onCompleted(task));
  }
}
