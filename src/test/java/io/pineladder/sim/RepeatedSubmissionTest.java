package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.wire.Json;
import io.pineladder.wire.JsonSpellings;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Users repeat the submissions of accepted jobs at every controller while leaders are killed. */
class RepeatedSubmissionTest extends FaultInjectionCluster {
  private static final int JOBS = 12;
  private static final int FAILOVERS = 3;
  private static final Duration REPEAT_PERIOD = Duration.ofSeconds(8);

  /** What happens to the store's transactions until the first leader is killed. */
  enum StoreFault {
    NONE,
    LOST_ANSWERS,
    LATE_TRANSACTIONS,
    REPEATED_TRANSACTIONS
  }

  private int submissionsKnownWithoutLeader;

  /** Each fault with two seeds; more with {@code -Dpineladder.unlisted=100}. */
  static Stream<Arguments> faultsAndSeeds() {
    int seeds = Integer.getInteger("pineladder.unlisted", 2);
    return Stream.of(StoreFault.values())
        .flatMap(
            fault -> IntStream.range(0, seeds).mapToObj(seed -> Arguments.of(fault, 700 + seed)));
  }

  @ParameterizedTest
  @MethodSource("faultsAndSeeds")
  void neverAnswersSubmissionOfAcceptedJobAsNewAfterLeaderIsKilled(StoreFault fault, int seed) {
    begin(seed % 2 == 0 ? Layout.FLEET : Layout.SHORT, seed);
    setStoreFault(fault);
    submitJobs();
    world.runFor(Duration.ofSeconds(25));
    cancelRandomJobs(0.3);
    world.runFor(Duration.ofMillis(randomBetween(0, 2_000)));
    setStoreFault(StoreFault.NONE);
    for (int failover = 0; failover < FAILOVERS; failover++) {
      submitJobs();
      world.runFor(Duration.ofMillis(randomBetween(500, 4_000)));
      killLeader(6_000);
      repeatSubmissions(REPEAT_PERIOD);
    }
    rules.faultsEndedAt = world.now();
    settle(Duration.ofSeconds(200));
    assertTrue(submissionsKnownWithoutLeader > 0, "no submission was repeated without a leader");
  }

  @Test
  void neverTakesAnotherSpellingForAnotherJobAtAnyController() {
    begin(Layout.FLEET, 57);
    String leader = leaderHost();
    List<String> others = controllerHosts().stream().filter(h -> !h.equals(leader)).toList();
    String leaderless = others.get(0);
    world.cut(leaderless, leader);
    world.cut(leaderless, others.get(1));
    world.runFor(Duration.ofSeconds(6));
    List<String> nodes = List.of(leader + ":8080", others.get(1) + ":8080", leaderless + ":8080");
    JsonSpellings spellings = new JsonSpellings(57);
    for (int i = 0; i < 30; i++) {
      SafetyRules.TrackedJob job = trackJob(simpleJobSpec("array", 1).put("owner", "blue"));
      assertEquals(201, submitSpelled(nodes.get(i % 3), job, spellings));
      job.accepted = true;
      for (String node : nodes) {
        assertEquals(200, submitSpelled(node, job, spellings), job.id + " again at " + node);
      }
      poll(job);
    }
    settle(Duration.ofSeconds(200));
  }

  /** Submits the job in another spelling, as a user does: again a second after each 503. */
  private int submitSpelled(String node, SafetyRules.TrackedJob job, JsonSpellings spellings) {
    int status = 503;
    for (int attempt = 0; attempt < 10 && status == 503; attempt++) {
      byte[] body = spellings.respell(job.spec, 20_000).getBytes(StandardCharsets.UTF_8);
      status = sendAndAwait(node, "POST", "/v1/jobs", body).status();
      world.runFor(Duration.ofSeconds(1));
    }
    return status;
  }

  private void setStoreFault(StoreFault fault) {
    store.lostAnswerRate = fault == StoreFault.LOST_ANSWERS ? 0.3 : 0;
    store.delayedTransactionRate = fault == StoreFault.LATE_TRANSACTIONS ? 0.2 : 0;
    store.replaysTransactions = fault == StoreFault.REPEATED_TRANSACTIONS;
  }

  private void submitJobs() {
    for (int i = 0; i < JOBS; i++) {
      String shape = i % 6 == 0 ? "service" : i % 6 == 3 ? "group" : "array";
      submit(
          simpleJobSpec(shape, 1 + world.random.nextInt(3))
              .put("owner", i % 2 == 0 ? "red" : "blue")
              .put("guess_s", shape.equals("service") ? 0 : randomBetween(2, 40)));
    }
  }

  /** Submits every accepted job again and asks about it, at a random controller each time. */
  private void repeatSubmissions(Duration period) {
    long rounds = period.toMillis() / 500;
    for (long round = 0; round < rounds; round++) {
      for (SafetyRules.TrackedJob job : acceptedJobs()) {
        schedule(randomBetween(0, 500), () -> repeatSubmission(job));
        schedule(randomBetween(0, 500), () -> queryStatus(job));
      }
      world.runFor(Duration.ofMillis(500));
    }
  }

  private List<SafetyRules.TrackedJob> acceptedJobs() {
    List<SafetyRules.TrackedJob> accepted = new ArrayList<>(rules.jobs.values());
    accepted.removeIf(job -> !job.accepted);
    return accepted;
  }

  private void repeatSubmission(SafetyRules.TrackedJob job) {
    boolean leaderless =
        store.value("lead/holder") == null || !controllers.get(leaderIndex()).alive[0];
    String controller = apiAddresses.get(world.random.nextInt(apiAddresses.size()));
    send(
        job,
        controller,
        "POST",
        "/v1/jobs",
        Json.bytes(job.spec),
        succeeded -> submissionsKnownWithoutLeader += succeeded && leaderless ? 1 : 0);
  }
}
