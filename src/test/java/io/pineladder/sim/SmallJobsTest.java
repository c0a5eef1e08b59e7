package io.pineladder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pineladder.retry.TokenBucket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * One-task jobs, four a second for ten minutes, a quarter of them cancelled, within the limits of
 * the smallest site.
 */
class SmallJobsTest extends ConfigurableCluster {
  private static final double REQUESTS = 80;
  private static final double CHANGES = 30;
  private static final int JOBS = 2_400;

  /**
   * Changes that a job may cost, its end included, so that the limit serves half as many jobs
   * again.
   */
  private static final double MOST_CHANGES = 5;

  /** Requests that a job may cost, those that five controllers make without any included. */
  private static final double MOST_REQUESTS = 12;

  @Test
  void tenMinutesOfOneTaskJobsStayWithinTheLimits() {
    begin(Layout.SHORT, 81);
    fleet.zoneCapacity = 20;
    world.runFor(Duration.ofSeconds(30));
    store.requestLimit = new TokenBucket(REQUESTS, REQUESTS, world.now());
    store.changeLimit = new TokenBucket(CHANGES, CHANGES, world.now());
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
        changes < MOST_CHANGES * JOBS,
        changes + " changes for " + JOBS + " jobs: " + store.changesByPrefix);
    int asked = store.requestCount - before;
    assertTrue(asked < MOST_REQUESTS * JOBS, asked + " requests for " + JOBS + " jobs");
    rules.faultsEndedAt = world.now();
    world.runFor(Duration.ofSeconds(60));
    List<String> open = all.stream().filter(j -> !j.isFinished()).map(j -> j.id).toList();
    assertEquals(List.of(), open);
    assertTrue(store.rateLimitedRequests < 0.01 * store.requestCount, store.rateLimitedRequests + " of " + store.requestCount);
    assertTrue(all.stream().filter(j -> j.cancelledAt != null).count() > JOBS / 10);
    settle(Duration.ofSeconds(60));
  }
}
