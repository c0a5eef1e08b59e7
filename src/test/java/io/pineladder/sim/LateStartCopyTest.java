package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Copies of start commands that were executed and answered, and reach the machine once more. */
class LateStartCopyTest extends FaultInjectionCluster {
  private static final long MIN_COPY_MILLIS = 300;
  private static final long MAX_COPY_MILLIS = 16_000;

  /** What happens to the cluster between a start and its copy. */
  enum Change {
    /** The same leader goes on. */
    NONE,
    /** The leader is killed, and another controller leads when the copy arrives. */
    NEW_LEADER,
    /** All controllers are back within a second. */
    ALL_RESTARTED,
    /** The machines receive nothing for a second. */
    MACHINES_BACK
  }

  private int startCopies;

  /** Delivers a copy of each start command that a machine executes. */
  private void copyStartCommands() {
    for (FakeFleet.Worker worker : fleet.runningWorkers()) {
      AsyncHttpHandler original = worker;
      world.serve(
          worker.address,
          (method, path, body, answer) ->
              executeWithCopy(worker, original, method, path, body, answer));
    }
  }

  private void executeWithCopy(
      FakeFleet.Worker worker,
      AsyncHttpHandler original,
      String method,
      String path,
      byte[] body,
      Consumer<HttpResponse> answer) {
    original.handle(method, path, body, answer);
    if (FakeFleet.hasStartCommand(body)) {
      startCopies++;
      world.after(
          randomBetween(MIN_COPY_MILLIS, MAX_COPY_MILLIS),
          () -> {
            if (!worker.ended) {
              original.handle(method, path, body, ignored -> {});
            }
          });
    }
  }

  /** Guards against a task that runs again after it ended, was moved or was cancelled. */
  @ParameterizedTest
  @EnumSource(Change.class)
  void copyOfExecutedStartHasNoEffect(Change change) {
    begin(Layout.FLEET, 91);
    fleet.failsOneIn = 0;
    submit(simpleJobSpec("service", 4));
    world.runFor(Duration.ofSeconds(60));
    copyStartCommands();
    List<SafetyRules.TrackedJob> jobs = new ArrayList<>();
    for (int round = 0; round < 40; round++) {
      ObjectNode spec = simpleJobSpec("array", 2).put("guess_s", 1.0 + round % 12);
      jobs.add(submit(spec));
      if (round % 3 == 2) {
        cancel(jobs.get(round - 1));
      }
      if (round % 10 == 9) {
        apply(change);
      }
      copyStartCommands();
      world.runFor(Duration.ofSeconds(3));
    }
    world.runFor(Duration.ofSeconds(60));
    assertTrue(startCopies > 20, "copies: " + startCopies);
    settle(Duration.ofSeconds(200));
  }

  private void apply(Change change) {
    switch (change) {
      case NONE -> {}
      case NEW_LEADER -> killLeader(4_000);
      case ALL_RESTARTED -> controllers.forEach(controller -> kill(controller, 700));
      case MACHINES_BACK -> makeUnreachable(randomMachines(1), 1_000);
    }
  }
}
