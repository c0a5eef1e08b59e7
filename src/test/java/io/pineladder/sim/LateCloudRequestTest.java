package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.net.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Rentals and deletions that get no answer and are executed up to minutes later, also under another
 * leader, and workers that start anew.
 */
class LateCloudRequestTest extends FaultInjectionCluster {
  private static final long MIN_DELAY_MILLIS = 1_000;
  private static final long MAX_DELAY_MILLIS = 150_000;
  private static final long CHECK_MILLIS = 700;
  private static final double LATE_SHARE = 0.4;

  /** What is carried out late. */
  enum Late {
    RENTALS,
    DELETIONS,
    RENTALS_AND_DELETIONS
  }

  private Late late;
  private int executedLate;

  /** Since when each task has been on a machine of whose attempt no placement is stored. */
  private final Map<String, Instant> unknownSince = new HashMap<>();

  /** Each kind with two seeds; more with {@code -Dpineladder.unlisted=100}. */
  static Stream<Arguments> kindsAndSeeds() {
    int seeds = Integer.getInteger("pineladder.unlisted", 2);
    return Stream.of(Late.values())
        .flatMap(
            kind -> IntStream.range(0, seeds).mapToObj(seed -> Arguments.of(kind, 960 + seed)));
  }

  @ParameterizedTest
  @MethodSource("kindsAndSeeds")
  void machineOfLateRequestNeverRunsUnknownTaskForLongerThanLease(Late kind, int seed) {
    late = kind;
    begin(seed % 2 == 0 ? Layout.FLEET : Layout.SHORT, seed);
    fleet.fastBoots = true;
    fleet.firstHeartbeatSequence = 10_000;
    world.serve(FakeFleet.ADDRESS, this::receive);
    for (int round = 0; round < 40; round++) {
      submit(simpleJobSpec("array", 4).put("owner", "blue").put("guess_s", 4.0 + round % 30));
      world.runFor(Duration.ofMillis(randomBetween(500, 6_000)));
      if (round % 8 == 7 && round < 30) {
        killLeader(4_000);
      }
      if (round % 5 == 4) {
        fleet.runningWorkers().stream()
            .filter(worker -> !worker.tasks.isEmpty())
            .limit(1)
            .forEach(FakeFleet.Worker::restart);
      }
      checkUnknownTasks();
    }
    for (int i = 0; i < MAX_DELAY_MILLIS / CHECK_MILLIS; i++) {
      world.runFor(Duration.ofMillis(CHECK_MILLIS));
      checkUnknownTasks();
    }
    world.serve(FakeFleet.ADDRESS, fleet);
    rules.faultsEndedAt = world.now();
    settle(Duration.ofMinutes(5));
    assertTrue(executedLate > 0, "no request was executed late");
    assertUnusedMachinesReturned();
  }

  private void receive(String method, String path, byte[] body, Consumer<HttpResponse> answer) {
    boolean rental = path.equals("/rentals") && late != Late.DELETIONS;
    boolean deletion = path.equals("/rentals/release") && late != Late.RENTALS;
    if ((rental || deletion) && world.random.nextDouble() < LATE_SHARE) {
      executedLate++;
      world.after(
          randomBetween(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS),
          () -> fleet.handle(method, path, body, ignored -> {}));
      return;
    }
    fleet.handle(method, path, body, answer);
  }

  private void checkUnknownTasks() {
    Map<String, Instant> unknown = new HashMap<>();
    for (FakeFleet.Worker worker : fleet.runningWorkers()) {
      for (FakeFleet.Task task : worker.tasks.values()) {
        if (task.onMachine && !store.hasPlacement(worker.name, task.id, task.attempt)) {
          String key = worker.name + " " + task.id + "#" + task.attempt;
          unknown.put(key, unknownSince.getOrDefault(key, world.now()));
        }
      }
    }
    unknownSince.clear();
    unknownSince.putAll(unknown);
    Instant bound = world.now().minusMillis(fleet.leaseMillis);
    List<String> tooLong =
        unknown.entrySet().stream()
            .filter(entry -> entry.getValue().isBefore(bound))
            .map(Map.Entry::getKey)
            .toList();
    assertEquals(List.of(), tooLong, "run unknown for longer than a lease");
  }

  /** A machine that no task needs is returned, whoever rented it. */
  private void assertUnusedMachinesReturned() {
    world.runFor(Duration.ofMinutes(8));
    assertTrue(
        fleet.machines.size() <= 2, fleet.machines.size() + " machines although all jobs ended");
  }
}
