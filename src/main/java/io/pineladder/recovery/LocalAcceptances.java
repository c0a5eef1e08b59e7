package io.pineladder.recovery;

import io.pineladder.net.EventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The jobs that this controller recently accepted without a leader. They are submitted again after
 * a rebuild, because the replica from which the generation was written may lack them; submission is
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

  /** Adds a job; drops the oldest one when the bound is exceeded. */
  void add(Runnable resubmit) {
    acceptances.addLast(new Acceptance(eventLoop.now(), resubmit));
    if (acceptances.size() > MAX_RETAINED) {
      acceptances.removeFirst();
    }
  }

  /** Submits all jobs again that were accepted within {@link #RETENTION}. */
  void resubmitAll() {
    Instant cutoff = eventLoop.now().minus(RETENTION);
    acceptances.removeIf(acceptance -> acceptance.acceptedAt.isBefore(cutoff));
    acceptances.forEach(acceptance -> acceptance.resubmit.run());
  }
}
