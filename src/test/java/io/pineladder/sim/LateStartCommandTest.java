package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.net.AsyncHttpHandler;
import io.pineladder.net.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Commands that are held up on their way, get no answer and are executed once, up to more than
 * twice the time limit for ending a cancelled job's tasks later, if token and agent epoch still
 * match.
 */
class LateStartCommandTest extends FaultInjectionCluster {
  private static final long MIN_DELAY_MILLIS = 2_000;
  private static final long MAX_SHORT_DELAY_MILLIS = 16_000;
  private static final long MAX_DELAY_MILLIS = 90_000;
  private static final double HELD_UP_SHARE = 0.4;

  /** Who cancels the jobs whose commands are held up. */
  enum Canceller {
    SAME_LEADER,
    NEW_LEADER,
    /** All controllers are down for a while, shorter than a worker's lease. */
    AFTER_ALL_WERE_DOWN,
    /** The machines can't reach any controller for a while and then come back. */
    LEADER_OF_UNREACHABLE_MACHINES
  }

  private final Set<String> heldUpWorkers = new HashSet<>();
  private int deliveredLate;
  private int executedLate;

  /** Each canceller with two seeds; more with {@code -Dpineladder.unlisted=100}. */
  static Stream<Arguments> cancellersAndSeeds() {
    int seeds = Integer.getInteger("pineladder.unlisted", 2);
    return Stream.of(Canceller.values())
        .flatMap(
            canceller ->
                IntStream.range(0, seeds).mapToObj(seed -> Arguments.of(canceller, 930 + seed)));
  }

  @ParameterizedTest
  @MethodSource("cancellersAndSeeds")
  void startHeldUpOnItsWayNeverRunsTaskOfCancelledJob(Canceller canceller, int seed) {
    begin(Layout.FLEET, seed);
    fleet.failsOneIn = 0;
    submit(simpleJobSpec("service", 4));
    world.runFor(Duration.ofSeconds(60));
    for (int round = 0; round < 60; round++) {
      holdUpCommandsOfNewWorkers();
      submit(simpleJobSpec("array", 3).put("owner", "blue").put("guess_s", 3.0 + round % 20));
      world.runFor(Duration.ofMillis(randomBetween(200, 3_000)));
      if (round % 6 == 5) {
        change(canceller);
      }
      cancelRandomJobs(0.2);
    }
    rules.faultsEndedAt = world.now().plusMillis(MAX_DELAY_MILLIS);
    world.runFor(Duration.ofMillis(MAX_DELAY_MILLIS));
    settle(Duration.ofSeconds(200));
    assertTrue(deliveredLate > 0, "no command that was held up reached its machine");
    assertTrue(
        executedLate > 0 || canceller != Canceller.SAME_LEADER,
        "no command that was held up was executed");
  }

  private void change(Canceller canceller) {
    switch (canceller) {
      case SAME_LEADER -> {}
      case NEW_LEADER -> killLeader(4_000);
      case AFTER_ALL_WERE_DOWN ->
          controllers.forEach(controller -> kill(controller, randomBetween(2_000, 9_000)));
      case LEADER_OF_UNREACHABLE_MACHINES ->
          cutTemporarily(randomMachines(2), controllerHosts(), randomBetween(2_000, 25_000));
      default -> throw new AssertionError(canceller);
    }
  }

  private void holdUpCommandsOfNewWorkers() {
    for (FakeFleet.Worker worker : fleet.runningWorkers()) {
      if (heldUpWorkers.add(worker.name)) {
        world.serve(
            worker.address,
            (method, path, body, answer) -> receive(worker, method, path, body, answer));
      }
    }
  }

  private void receive(
      FakeFleet.Worker worker,
      String method,
      String path,
      byte[] body,
      Consumer<HttpResponse> answer) {
    AsyncHttpHandler original = worker;
    if (rules.faultsEndedAt != null
        || !FakeFleet.hasStartCommand(body)
        || world.random.nextDouble() >= HELD_UP_SHARE) {
      original.handle(method, path, body, answer);
      return;
    }
    long longest = world.random.nextBoolean() ? MAX_SHORT_DELAY_MILLIS : MAX_DELAY_MILLIS;
    world.after(
        randomBetween(MIN_DELAY_MILLIS, longest),
        () -> {
          if (!worker.ended) {
            deliveredLate++;
            original.handle(
                method, path, body, response -> executedLate += response.status() == 200 ? 1 : 0);
          }
        });
  }
}
