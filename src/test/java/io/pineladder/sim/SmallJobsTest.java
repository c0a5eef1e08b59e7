package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.retry.TokenBucket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Four one-task jobs per second for ten minutes, a quarter of them cancelled, within the store
 * limits of the smallest deployment.
 */
class SmallJobsTest extends ConfigurableCluster {
  private static final double REQUESTS_PER_SECOND = 80;
  private static final double CHANGES_PER_SECOND = 30;
  private static final int JOBS = 2_400;

  /**
   * Maximum store changes per job, including its end; allows 50% more jobs within the store limits.
   */
  private static final double MAX_CHANGES_PER_JOB = 5;

  /** Maximum store requests per job, including the background requests of five controllers. */
  private static final double MAX_REQUESTS_PER_JOB = 12;

  @Test
  void keepsStoreLimitsUnderOneTaskJobs() {
    begin(Layout.SHORT, 81);
    fleet.zoneCapacity = 20;
    world.runFor(Duration.ofSeconds(30));
    store.requestLimit = new TokenBucket(REQUESTS_PER_SECOND, REQUESTS_PER_SECOND, world.now());
    store.changeLimit = new TokenBucket(CHANGES_PER_SECOND, CHANGES_PER_SECOND, world.now());
    store.changesByPrefix.clear();
    int before = store.requestCount;
    List<SafetyRules.TrackedJob> all = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      SafetyRules.TrackedJob job = submit(simpleJobSpec("array", 1).put("guess_s", 4 + i % 9));
      all.add(job);
      if (i % 4 == 0) {
        world.after(world.random.nextInt(12_000), () -> cancel(job));
      }
      if (i == JOBS / 2) {
        kill(controllers.get(leaderIndex()), 6_000);
      }
      world.runFor(Duration.ofMillis(250));
    }
    int changes = store.changesByPrefix.values().stream().mapToInt(Integer::intValue).sum();
    assertTrue(
        changes < MAX_CHANGES_PER_JOB * JOBS,
        changes + " changes for " + JOBS + " jobs: " + store.changesByPrefix);
    int requests = store.requestCount - before;
    assertTrue(
        requests < MAX_REQUESTS_PER_JOB * JOBS, requests + " requests for " + JOBS + " jobs");
    rules.faultsEndedAt = world.now();
    world.runFor(Duration.ofSeconds(60));
    List<String> open = all.stream().filter(j -> !j.isFinished()).map(j -> j.id).toList();
    assertEquals(List.of(), open);
    assertTrue(
        store.rateLimitedRequests < 0.01 * store.requestCount,
        store.rateLimitedRequests + " rejected of " + store.requestCount);
    assertTrue(all.stream().filter(j -> j.cancelledAt != null).count() > JOBS / 10);
    settle(Duration.ofSeconds(60));
  }
}
