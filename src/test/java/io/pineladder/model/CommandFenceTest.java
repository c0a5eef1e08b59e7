package io.pineladder.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the fence with a plain worker that keeps all requests ever sent to it. */
class CommandFenceTest {
  private static final long TERM = 40;

  private final TermTokens tokens = new TermTokens(TERM);
  private CommandFence fence = new CommandFence();

  /** A request that starts one attempt. */
  private record StartRequest(long token, int attempt) {}

  private final List<StartRequest> requests = new ArrayList<>();
  private final Set<Integer> listed = new HashSet<>();
  private final Set<Integer> forgotten = new HashSet<>();
  private long workerToken;

  private void start(int attempt) {
    long token = fence.token(tokens);
    fence.onRequestSent();
    assertTrue(token >= workerToken, "the worker refuses a lower token");
    requests.add(new StartRequest(token, attempt));
    receive(requests.get(requests.size() - 1));
  }

  private void receive(StartRequest request) {
    if (request.token < workerToken) {
      return;
    }
    workerToken = request.token;
    if (listed.add(request.attempt)) {
      assertFalse(forgotten.contains(request.attempt), "started again: " + request);
    }
  }

  /** Returns whether the worker may forget the attempt with the next response. */
  private boolean forget(int attempt) {
    boolean allowed = fence.fenceRequests(tokens);
    long token = fence.token(tokens);
    assertTrue(token >= workerToken, "the worker drops a response with a lower token");
    assertFalse(tokens.isOfLaterTerm(token));
    if (allowed) {
      workerToken = token;
      listed.remove(attempt);
      forgotten.add(attempt);
    }
    return allowed;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void noCopyOfAnyAgeStartsForgottenAttempt(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long revision = TERM;
    int attempts = 0;
    for (int step = 0; step < 20_000; step++) {
      switch (random.nextInt(5)) {
        case 0, 1 -> start(++attempts);
        case 2 -> tokens.onCommitted(revision += 1 + random.nextInt(3));
        case 3 -> {
          if (!listed.isEmpty()) {
            forget(listed.iterator().next());
          }
        }
        default -> {
          if (!requests.isEmpty()) {
            receive(requests.get(random.nextInt(requests.size())));
          }
        }
      }
      if (random.nextInt(500) == 0) {
        // The leader removes the machine and adds it again.
        fence = new CommandFence();
      }
    }
    assertTrue(forgotten.size() > 1_000, "forgotten: " + forgotten.size());
  }

  /** Guards against a guard that gives way when it is full: any number of attempts stays listed. */
  @Test
  void attemptsStayListedUntilTheNextCommit() {
    for (int attempt = 0; attempt < 5_000; attempt++) {
      start(attempt);
      assertFalse(forget(attempt));
    }
    tokens.onCommitted(TERM + 1);
    for (int attempt = 0; attempt < 5_000; attempt++) {
      assertTrue(forget(attempt));
    }
    requests.forEach(this::receive);
    assertEquals(Set.of(), listed);
  }
}
