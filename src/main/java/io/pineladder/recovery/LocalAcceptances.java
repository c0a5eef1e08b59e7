package io.pineladder.recovery;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The jobs that this controller recently accepted without a leader. After a rebuild they are stored
 * again, since the replica from which the generation was written may lack them; storing a job is
 * idempotent.
 */
final class LocalAcceptances {
  private static final Duration RETENTION = Duration.ofMinutes(10);
  private static final int MAX_RETAINED = 2_000;

  private record Acceptance(Instant acceptedAt, Runnable resubmit) {}

  private final EventLoop eventLoop;
  private final Deque<Acceptance> acceptances = new ArrayDeque<>();

  LocalAcceptances(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Adds a job; beyond the bound the oldest is dropped. */
  void add(Runnable storeAgain) {
    acceptances.addLast(new Acceptance(eventLoop.now(), storeAgain));
    if (acceptances.size() > MAX_RETAINED) {
      acceptances.removeFirst();
    }
  }

  /** Stores all jobs again that are within the retention. */
  void resubmitAll() {
    Instant from = eventLoop.now().minus(RETENTION);
    acceptances.removeIf(each -> each.acceptedAt.isBefore(from));
    acceptances.forEach(each -> each.resubmit.run());
  }
}
